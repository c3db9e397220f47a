//! Notices to the platform: how messages ended that were taken on and not delivered.
use crate::connections::{self, Connection};
use crate::inbox::Input;
use nickelshed_journal::Ending;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

pub struct Notice {
    pub id: u64,
    pub trace: String,
    pub ending: Ending,
}

fn line(notice: &Notice) -> String {
    let mut line = match notice.ending {
        Ending::GivenUp => json!({"message": notice.trace, "outcome": "given_up"}),
        Ending::HandedBack(None) => json!({"message": notice.trace, "outcome": "handed_back"}),
        Ending::HandedBack(Some(ms)) => {
            json!({"message": notice.trace, "outcome": "handed_back", "retry_in_ms": ms})
        }
    }
    .to_string();
    line.push('\n');
    line
}

const MAX_BODY: usize = 60 << 10;
const PATIENCE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

async fn post(connection: &mut Option<Connection>, at: SocketAddr, body: String) -> Result<u16, String> {
    let kept = Connection::kept_or_new(connection, at, PATIENCE).await;
    let mut link = kept.map_err(|e| e.to_string())?;
    let request = connections::request("POST", "/reports", at, &[], body.into());
    let (status, ..) = link.exchange(request, MAX_BODY).await.map_err(|e| e.to_string())?;
    *connection = Some(link);
    Ok(status)
}

/// Sends what comes, all that waits in one request, and again until it is answered 204. The queue holds no
/// more than the journal does, which bounds it.
pub async fn run(
    mut place: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    core: mpsc::Sender<Input>,
) {
    let mut connection = None;
    let mut waiting: Vec<Notice> = Vec::new();
    let mut pause = FIRST_PAUSE;
    // After a 400 one at a time, so that one notice the platform can't read does not hold up the others.
    let mut single: usize = 0;
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(notice) => waiting.push(notice),
                None => return,
            }
        }
        while let Ok(notice) = queue.try_recv() {
            waiting.push(notice);
        }
        let mut body = String::new();
        let mut count = 0;
        for notice in &waiting {
            let line = line(notice);
            if count > 0 && (body.len() + line.len() > MAX_BODY || single > 0) {
                break;
            }
            body.push_str(&line);
            count += 1;
        }
        let at = *place.borrow_and_update();
        let result = tokio::select! {
            biased;
            // What the old address has not answered goes to the new one at once; a second notice does no harm.
            Ok(()) = place.changed() => {
                connection = None;
                continue;
            }
            result = timeout(PATIENCE, post(&mut connection, at, body)) => result,
        };
        match result.unwrap_or(Err("is silent".into())) {
            Ok(400) if count > 1 => single = count,
            Ok(status @ (204 | 400)) => {
                if status == 400 {
                    tracing::error!(message = %waiting[0].trace, "the platform can't read a notice");
                }
                single = single.saturating_sub(count);
                pause = FIRST_PAUSE;
                let done = waiting.drain(..count).map(|n| n.id).collect();
                if core.send(Input::Noticed(done)).await.is_err() {
                    return;
                }
            }
            other => {
                tracing::warn!(?other, "notices don't get through");
                tokio::select! {
                    Ok(()) = place.changed() => connection = None,
                    () = sleep(pause) => pause = (2 * pause).min(LONGEST_PAUSE),
                }
            }
        }
    }
}
