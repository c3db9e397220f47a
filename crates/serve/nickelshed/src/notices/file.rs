//! Notices into a file of JSON lines. The file may be moved away at any time; a new one is begun then.
use super::{Notice, Take};
use std::fs::OpenOptions;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// Bytes written at once at most, one line aside.
const MOST: usize = 64 << 10;
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Appends lines, all or none as far as the disk lets: what was begun and can't be ended is cut off again. A line
/// that another process left unfinished is ended first, so that it costs none but itself.
fn append(path: &Path, lines: &str, sync: bool) -> io::Result<()> {
    let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
    let before = file.seek(SeekFrom::End(0))?;
    let mut last = [b'\n'];
    if before > 0 {
        file.seek(SeekFrom::End(-1))?;
        file.read_exact(&mut last)?;
    }
    let begin = if last == [b'\n'] { "" } else { "\n" };
    let written = file.write_all(format!("{begin}{lines}").as_bytes()).and_then(|()| {
        if sync {
            file.sync_data()
        } else {
            Ok(())
        }
    });
    if written.is_err() {
        // If this fails too the unfinished line is ended by the next write.
        let _ = file.set_len(before);
    }
    written
}

/// Appends what comes, and again until it is written. Ends with its queue, or once `take` is false.
pub async fn run(path: PathBuf, sync: bool, mut queue: mpsc::UnboundedReceiver<Notice>, take: Take) {
    let mut failing = false;
    while let Some(first) = queue.recv().await {
        let mut lines = take.line(&first);
        let mut ids = vec![first.id];
        while lines.len() < MOST {
            let Ok(notice) = queue.try_recv() else { break };
            lines.push_str(&take.line(&notice));
            ids.push(notice.id);
        }
        let mut pause = FIRST_PAUSE;
        loop {
            let (to, text) = (path.clone(), lines.clone());
            // Beside the thread that serves clients: a disk may stall.
            let written = spawn_blocking(move || append(&to, &text, sync)).await;
            match written.unwrap_or_else(|e| Err(io::Error::other(e))) {
                Ok(()) => break,
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::error!(%error, file = %path.display(), "cannot write notices; they stay owed");
                    }
                    sleep(pause).await;
                    pause = (2 * pause).min(LONGEST_PAUSE);
                }
            }
        }
        if std::mem::take(&mut failing) {
            tracing::info!(file = %path.display(), "notices are written again");
        }
        if !take.taken(ids).await {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unfinished_line_costs_none_but_itself_and_a_moved_file_is_begun_anew() {
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
