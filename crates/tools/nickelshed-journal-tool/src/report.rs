//! Reports on a journal, as text and as JSON.
use base64::Engine;
use nickelshed_journal::{
    recover::DamagedRange, segment_name, AttemptRecord, Ending, Inspection, Integrity, LiveMessage,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Messages of one class to one destination.
#[derive(Default)]
struct Group {
    messages: usize,
    /// Total size of the bodies.
    bytes: usize,
    /// Messages without a recorded attempt.
    unattempted: usize,
    attempts: usize,
    /// Messages whose ending is decided and whose notice is being sent.
    notices_in_progress: usize,
    oldest_accepted_at_ms: Option<i64>,
    first_deadline_ms: Option<i64>,
}

fn groups(inspection: &Inspection) -> BTreeMap<(String, u64), Group> {
    let mut groups: BTreeMap<(String, u64), Group> = BTreeMap::new();
    for live in &inspection.live {
        let message = &live.message;
        let group = groups.entry((message.class.clone(), message.dest)).or_default();
        group.messages += 1;
        group.bytes += message.body.len();
        group.unattempted += usize::from(live.attempts.is_empty());
        group.attempts += live.attempts.len();
        group.notices_in_progress += usize::from(live.ending.is_some());
        if message.accepted_at_ms > 0 {
            group.oldest_accepted_at_ms = Some(
                group
                    .oldest_accepted_at_ms
                    .map_or(message.accepted_at_ms, |earliest| earliest.min(message.accepted_at_ms)),
            );
        }
        group.first_deadline_ms = Some(
            group.first_deadline_ms.map_or(message.deadline_ms, |earliest| earliest.min(message.deadline_ms)),
        );
    }
    groups
}

fn format_seconds(ms: i64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}

/// Returns the number of bytes left of the disk limit; negative if it is exceeded.
fn remaining_disk_bytes(inspection: &Inspection, disk_mb: Option<f64>) -> Option<i64> {
    disk_mb.map(|mb| (mb * 1e6) as i64 - inspection.disk_bytes as i64)
}

/// Returns the open messages by class and destination, and the space that they take. `now_ms` is Unix time.
pub fn inspect(inspection: &Inspection, now_ms: i64, disk_mb: Option<f64>) -> String {
    let mut report = String::new();
    let body_bytes: usize = inspection.live.iter().map(|live| live.message.body.len()).sum();
    let (messages, segments) = (inspection.live.len(), inspection.segments.len());
    let _ = writeln!(
        report,
        "{messages} messages held, {body_bytes} bytes of bodies; {} bytes on the disk in {segments} segments",
        inspection.disk_bytes
    );
    if let Some(bytes_left) = remaining_disk_bytes(inspection, disk_mb) {
        let _ = writeln!(report, "{bytes_left} bytes left of the disk's limit");
    }
    if inspection.legacy {
        let _ = writeln!(
            report,
            "the journal file of an earlier version still exists; the next start imports it"
        );
    }
    let groups = groups(inspection);
    if !groups.is_empty() {
        let header = [
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
        let mut rows: Vec<Vec<String>> = vec![header.map(str::to_string).to_vec()];
        for ((class, dest), group) in &groups {
            rows.push(vec![
                class.clone(),
                dest.to_string(),
                group.messages.to_string(),
                group.bytes.to_string(),
                group.unattempted.to_string(),
                group.attempts.to_string(),
                group.notices_in_progress.to_string(),
                group
                    .oldest_accepted_at_ms
                    .map_or("unknown".into(), |accepted_at_ms| format_seconds(now_ms - accepted_at_ms)),
                group
                    .first_deadline_ms
                    .map_or(String::new(), |deadline_ms| format_seconds(deadline_ms - now_ms)),
            ]);
        }
        let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..header.len()).map(width).collect();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:>width$}")).collect();
            let _ = writeln!(report, "{}", cells.join("  "));
        }
    }
    if inspection.integrity() != Integrity::Intact {
        report.push_str(&verify(inspection));
    }
    report
}

pub fn inspect_json(inspection: &Inspection, now_ms: i64, disk_mb: Option<f64>) -> String {
    let groups: Vec<Value> = groups(inspection)
        .into_iter()
        .map(|((class, dest), group)| {
            json!({"class": class, "dest": dest, "messages": group.messages, "bytes": group.bytes,
                "untried": group.unattempted, "attempts": group.attempts, "ending": group.notices_in_progress,
                "oldest_ms": group.oldest_accepted_at_ms.map(|accepted_at_ms| now_ms - accepted_at_ms),
                "first_deadline_in_ms": group.first_deadline_ms.map(|deadline_ms| deadline_ms - now_ms)})
        })
        .collect();
    let object = json!({"messages": inspection.live.len(), "disk_bytes": inspection.disk_bytes,
        "segments": inspection.segments.len(), "left_bytes": remaining_disk_bytes(inspection, disk_mb),
        "legacy": inspection.legacy, "state": integrity_name(inspection), "groups": groups});
    format!("{object}\n")
}

fn integrity_name(inspection: &Inspection) -> &'static str {
    match inspection.integrity() {
        Integrity::Intact => "whole",
        Integrity::Torn => "torn",
        Integrity::Damaged => "damaged",
    }
}

/// Returns the state of the folder, and the records that cannot be read.
pub fn verify(inspection: &Inspection) -> String {
    let mut report = format!(
        "{}: {} messages in {} segments\n",
        integrity_name(inspection),
        inspection.live.len(),
        inspection.segments.len()
    );
    for DamagedRange { seq, from, to } in &inspection.damage {
        let name = segment_name(*seq);
        let _ = match to {
            0 => writeln!(report, "{name} is missing"),
            _ => writeln!(report, "{name}: bytes {from} to {to} cannot be read"),
        };
    }
    if inspection.uncertain > 0 {
        let _ = writeln!(
            report,
            "attempts of {} messages may be lost; the next start assumes one attempt for each, so that none \
             runs more often than its class allows",
            inspection.uncertain
        );
    }
    if let Some(torn) = &inspection.torn {
        let name = if torn.seq == 0 { "journal".into() } else { segment_name(torn.seq) };
        let _ = writeln!(
            report,
            "{name}: {} bytes from offset {} are a write that was cut off or is in progress; \
             none of it was acknowledged",
            torn.cut_bytes, torn.valid_bytes
        );
    }
    report
}

pub fn verify_json(inspection: &Inspection) -> String {
    let damage: Vec<Value> = inspection
        .damage
        .iter()
        .map(|range| {
            json!({"file": segment_name(range.seq), "from": range.from, "to": range.to,
                "missing": range.to == 0})
        })
        .collect();
    let torn = inspection
        .torn
        .as_ref()
        .map(|torn| json!({"segment": torn.seq, "from": torn.valid_bytes, "bytes": torn.cut_bytes}));
    let object = json!({"state": integrity_name(inspection), "messages": inspection.live.len(),
        "doubted": inspection.uncertain,
        "damage": damage, "torn": torn});
    format!("{object}\n")
}

fn attempt_json(attempt: &AttemptRecord) -> Value {
    let assumed = attempt.endpoint.is_empty();
    json!({"at_ms": attempt.started_at_ms, "endpoint": attempt.endpoint,
        "never_ran": attempt.never_ran, "supposed": assumed})
}

fn message_json(live: &LiveMessage) -> Value {
    let message = &live.message;
    let ending = live.ending.map(|ending| match ending {
        Ending::GivenUp => json!({"outcome": ending.name()}),
        Ending::HandedBack(retry_after_ms) => {
            json!({"outcome": ending.name(), "retry_in_ms": retry_after_ms})
        }
    });
    json!({"message": message.trace, "class": message.class, "tenant": message.tenant, "dest": message.dest,
        "key": message.key, "since_ms": message.accepted_at_ms, "deadline_ms": message.deadline_ms,
        "attempts": live.attempts.iter().map(attempt_json).collect::<Vec<_>>(), "ending": ending,
        "body": base64::engine::general_purpose::STANDARD.encode(&message.body)})
}

/// Returns each open message as a JSON object on a line.
pub fn export(inspection: &Inspection) -> String {
    inspection.live.iter().fold(String::new(), |mut report, live| {
        let _ = writeln!(report, "{}", message_json(live));
        report
    })
}
