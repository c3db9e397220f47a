//! What is printed of a journal, as text and as JSON.
use base64::Engine;
use nickelshed_journal::{recover::Damage, segment_name, Begun, Ending, Live, State, View};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Messages of one class to one destination.
#[derive(Default)]
struct Group {
    messages: usize,
    bytes: usize,
    untried: usize,
    attempts: usize,
    /// Messages whose notice is under way.
    ending: usize,
    oldest: Option<i64>,
    first_end: Option<i64>,
}

fn groups(view: &View) -> BTreeMap<(String, u64), Group> {
    let mut groups: BTreeMap<(String, u64), Group> = BTreeMap::new();
    for live in &view.live {
        let taken = &live.taken;
        let group = groups.entry((taken.class.clone(), taken.dest)).or_default();
        group.messages += 1;
        group.bytes += taken.body.len();
        group.untried += usize::from(live.attempts.is_empty());
        group.attempts += live.attempts.len();
        group.ending += usize::from(live.ending.is_some());
        if taken.since > 0 {
            group.oldest = Some(group.oldest.map_or(taken.since, |o| o.min(taken.since)));
        }
        group.first_end = Some(group.first_end.map_or(taken.end, |e| e.min(taken.end)));
    }
    groups
}

fn seconds(ms: i64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}

/// Bytes that are left of the disk's limit.
fn left(view: &View, disk_mb: Option<f64>) -> Option<i64> {
    disk_mb.map(|mb| (mb * 1e6) as i64 - view.disk as i64)
}

/// `now`: Unix time in milliseconds.
pub fn inspect(view: &View, now: i64, disk_mb: Option<f64>) -> String {
    let mut out = String::new();
    let bodies: usize = view.live.iter().map(|l| l.taken.body.len()).sum();
    let (messages, segments) = (view.live.len(), view.segments.len());
    let _ = writeln!(
        out,
        "{messages} messages held, {bodies} bytes of bodies; {} bytes on the disk in {segments} segments",
        view.disk
    );
    if let Some(left) = left(view, disk_mb) {
        let _ = writeln!(out, "{left} bytes left of the disk's limit");
    }
    if view.legacy {
        let _ = writeln!(out, "the file of the version before is still there; a start takes it over");
    }
    let groups = groups(view);
    if !groups.is_empty() {
        let head = [
            "class",
            "dest",
            "messages",
            "bytes",
            "untried",
            "attempts",
            "ending",
            "oldest",
            "first deadline in",
        ];
        let mut rows: Vec<Vec<String>> = vec![head.map(str::to_string).to_vec()];
        for ((class, dest), g) in &groups {
            rows.push(vec![
                class.clone(),
                dest.to_string(),
                g.messages.to_string(),
                g.bytes.to_string(),
                g.untried.to_string(),
                g.attempts.to_string(),
                g.ending.to_string(),
                g.oldest.map_or("unknown".into(), |o| seconds(now - o)),
                g.first_end.map_or(String::new(), |e| seconds(e - now)),
            ]);
        }
        let width = |column: usize| rows.iter().map(|r| r[column].chars().count()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..head.len()).map(width).collect();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:>width$}")).collect();
            let _ = writeln!(out, "{}", cells.join("  "));
        }
    }
    if view.state() != State::Whole {
        out.push_str(&verify(view));
    }
    out
}

pub fn inspect_json(view: &View, now: i64, disk_mb: Option<f64>) -> String {
    let groups: Vec<Value> = groups(view)
        .into_iter()
        .map(|((class, dest), g)| {
            json!({"class": class, "dest": dest, "messages": g.messages, "bytes": g.bytes, "untried": g.untried,
                "attempts": g.attempts, "ending": g.ending, "oldest_ms": g.oldest.map(|o| now - o),
                "first_deadline_in_ms": g.first_end.map(|e| e - now)})
        })
        .collect();
    let whole = json!({"messages": view.live.len(), "disk_bytes": view.disk, "segments": view.segments.len(),
        "left_bytes": left(view, disk_mb), "legacy": view.legacy, "state": state(view), "groups": groups});
    format!("{whole}\n")
}

fn state(view: &View) -> &'static str {
    match view.state() {
        State::Whole => "whole",
        State::Torn => "torn",
        State::Damaged => "damaged",
    }
}

pub fn verify(view: &View) -> String {
    let mut out =
        format!("{}: {} messages in {} segments\n", state(view), view.live.len(), view.segments.len());
    for Damage { seq, from, to } in &view.damage {
        let name = segment_name(*seq);
        let _ = match to {
            0 => writeln!(out, "{name} is missing"),
            _ => writeln!(out, "{name}: bytes {from} to {to} can't be read"),
        };
    }
    if view.doubted > 0 {
        let _ = writeln!(
            out,
            "{} messages may have attempts among what is lost; a start counts each as tried once, so that nothing \
             runs twice beyond its class",
            view.doubted
        );
    }
    if let Some(torn) = &view.torn {
        let name = if torn.seq == 0 { "journal".into() } else { segment_name(torn.seq) };
        let _ = writeln!(
            out,
            "{name}: {} bytes from {} on are a write that was cut off, or is under way; nothing of it was promised",
            torn.cut, torn.kept
        );
    }
    out
}

pub fn verify_json(view: &View) -> String {
    let damage: Vec<Value> = view
        .damage
        .iter()
        .map(|d| json!({"file": segment_name(d.seq), "from": d.from, "to": d.to, "missing": d.to == 0}))
        .collect();
    let torn = view.torn.as_ref().map(|t| json!({"segment": t.seq, "from": t.kept, "bytes": t.cut}));
    let whole = json!({"state": state(view), "messages": view.live.len(), "doubted": view.doubted,
        "damage": damage, "torn": torn});
    format!("{whole}\n")
}

fn attempt(a: &Begun) -> Value {
    let supposed = a.endpoint.is_empty();
    json!({"at_ms": a.at, "endpoint": a.endpoint, "never_ran": a.never_ran, "supposed": supposed})
}

fn message(live: &Live) -> Value {
    let taken = &live.taken;
    let ending = live.ending.map(|e| match e {
        Ending::GivenUp => json!({"outcome": e.name()}),
        Ending::HandedBack(ms) => json!({"outcome": e.name(), "retry_in_ms": ms}),
    });
    json!({"message": taken.trace, "class": taken.class, "tenant": taken.tenant, "dest": taken.dest,
        "key": taken.key, "since_ms": taken.since, "deadline_ms": taken.end,
        "attempts": live.attempts.iter().map(attempt).collect::<Vec<_>>(), "ending": ending,
        "body": base64::engine::general_purpose::STANDARD.encode(&taken.body)})
}

pub fn export(view: &View) -> String {
    view.live.iter().fold(String::new(), |mut out, live| {
        let _ = writeln!(out, "{}", message(live));
        out
    })
}
