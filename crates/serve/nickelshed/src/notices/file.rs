//! A sink that appends notices as JSON lines to a file. The file may be moved away at any time; a new one is
//! created then.
use super::{Notice, SinkHandle};
use std::fs::OpenOptions;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Limit of the bytes in one write, unless a single line is longer.
const MAX_BATCH_BYTES: usize = 64 << 10;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Appends all of the lines or, as far as the disk allows, none: after a failed write the file is truncated
/// to its former length. If another process left an incomplete last line, it is terminated first, so that
/// only that line is lost.
fn append(path: &Path, lines: &str, sync: bool) -> io::Result<()> {
    let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
    let length_before = file.seek(SeekFrom::End(0))?;
    let mut last_byte = [b'\n'];
    if length_before > 0 {
        file.seek(SeekFrom::End(-1))?;
        file.read_exact(&mut last_byte)?;
    }
    let line_break = if last_byte == [b'\n'] { "" } else { "\n" };
    let written = file.write_all(format!("{line_break}{lines}").as_bytes()).and_then(|()| {
        if sync {
            file.sync_data()
        } else {
            Ok(())
        }
    });
    if written.is_err() {
        // If this fails as well, the next write terminates the incomplete line.
        let _ = file.set_len(length_before);
    }
    written
}

/// Appends the queued notices, and retries until they are written. Returns when the queue is closed or the
/// dispatcher has ended.
pub async fn run(path: PathBuf, sync: bool, mut queue: mpsc::UnboundedReceiver<Notice>, handle: SinkHandle) {
    let mut is_failing = false;
    while let Some(first) = queue.recv().await {
        let mut lines = handle.line(&first);
        let mut ids = vec![first.id];
        while lines.len() < MAX_BATCH_BYTES {
            let Ok(notice) = queue.try_recv() else { break };
            lines.push_str(&handle.line(&notice));
            ids.push(notice.id);
        }
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            let (to, text) = (path.clone(), lines.clone());
            // Not on the thread that serves clients, since a disk may stall.
            let written = spawn_blocking(move || append(&to, &text, sync)).await;
            match written.unwrap_or_else(|e| Err(io::Error::other(e))) {
                Ok(()) => break,
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        tracing::error!(
                            %error, file = %path.display(), "cannot write notices; they stay owed"
                        );
                    }
                    sleep(retry_delay).await;
                    retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
                }
            }
        }
        if std::mem::take(&mut is_failing) {
            tracing::info!(file = %path.display(), "notices are written again");
        }
        if !handle.acknowledge(ids).await {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn incomplete_line_is_terminated_and_a_moved_file_is_created_again() {
        let folder = std::env::temp_dir().join(format!("nickelshed-notices-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("notices.jsonl");
        std::fs::write(&path, "{\"message\":\"whole\"}\n{\"message\":\"cut o").unwrap();
        append(&path, "{\"message\":\"next\"}\n", true).unwrap();
        let text = std::fs::read_to_string(&path).unwrap();
        assert_eq!(text.lines().last(), Some("{\"message\":\"next\"}"));
        assert_eq!(text.lines().count(), 3);
        std::fs::rename(&path, folder.join("notices.1")).unwrap();
        append(&path, "x\n", false).unwrap();
        assert_eq!(std::fs::read_to_string(&path).unwrap(), "x\n");
        assert!(append(&folder.join("none").join("file"), "x\n", false).is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
