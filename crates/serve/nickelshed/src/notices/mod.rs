//! Notices: how accepted messages ended that were not delivered. Each notice goes to every configured sink
//! and stays pending until all of them have received it.
mod file;
mod http;
mod pending;

use crate::config::Sink;
use crate::inbox::Input;
use crate::watch;
use nickelshed_host::Host;
use nickelshed_journal::Ending;
use pending::PendingNotices;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// How one message ended.
#[derive(Clone)]
pub struct Notice {
    pub id: u64,
    pub trace: String,
    pub class: String,
    pub dest: u64,
    pub ending: Ending,
    /// Unix time in milliseconds.
    pub ended_at_ms: i64,
}

/// One sink's side of the dispatcher: formats notices for the sink's readers and acknowledges them.
pub struct SinkHandle {
    sink_index: usize,
    /// Included in the notices of a sidecar; None on the platform, which knows which sender posts a notice.
    application: Option<Rc<str>>,
    acknowledgement_tx: mpsc::Sender<(usize, Vec<u64>)>,
}

impl SinkHandle {
    /// The notice as a JSON object, with a line break at the end.
    fn line(&self, notice: &Notice) -> String {
        let (outcome, retry_in_ms) = match notice.ending {
            Ending::GivenUp => ("given_up", None),
            Ending::HandedBack(retry_in_ms) => ("handed_back", retry_in_ms),
        };
        let mut line = json!({"message": notice.trace, "outcome": outcome});
        if let Some(ms) = retry_in_ms {
            line["retry_in_ms"] = json!(ms);
        }
        if let Some(application) = &self.application {
            line["application"] = json!(**application);
            line["class"] = json!(notice.class);
            line["destination"] = json!(notice.dest);
            line["at_ms"] = json!(notice.ended_at_ms);
        }
        format!("{line}\n")
    }

    /// Acknowledges written notices. Returns false if the dispatcher has ended.
    async fn acknowledge(&self, ids: Vec<u64>) -> bool {
        self.acknowledgement_tx.send((self.sink_index, ids)).await.is_ok()
    }
}

/// The configuration that all sinks share.
pub struct NoticeTargets {
    pub application: Option<String>,
    /// The platform's address; None for a sidecar without discovery.
    pub platform: Option<watch::Receiver<SocketAddr>>,
    /// Whether a line in a file must be durable against a loss of power.
    pub sync: bool,
}

/// Passes every notice to every sink, and tells the core which notices all sinks have received.
pub async fn run<H: Host>(
    host: H,
    sinks: Vec<Sink>,
    targets: NoticeTargets,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    core: mpsc::Sender<Input>,
) {
    // One entry per sink is enough: each sink sends one acknowledgement at a time.
    let (acknowledgement_tx, mut acknowledgements) = mpsc::channel(sinks.len().max(1));
    let application: Option<Rc<str>> = targets.application.map(Into::into);
    let mut sink_queues = Vec::new();
    for (sink_index, sink) in sinks.into_iter().enumerate() {
        let (sink_tx, notices) = mpsc::unbounded_channel();
        let handle = SinkHandle {
            sink_index,
            application: application.clone(),
            acknowledgement_tx: acknowledgement_tx.clone(),
        };
        match (sink, &targets.platform) {
            (Sink::Platform, Some(address_rx)) => {
                let target = http::HttpTarget {
                    address_rx: address_rx.clone(),
                    path: "/reports".into(),
                    accepts: |status| status == 204,
                };
                spawn_local(http::run(host.clone(), target, notices, handle));
            }
            (Sink::Platform, None) => continue,
            (Sink::Http { address, path }, _) => {
                let accepts = |status| (200..300).contains(&status);
                let target = http::HttpTarget { address_rx: watch::channel(address).1, path, accepts };
                spawn_local(http::run(host.clone(), target, notices, handle));
            }
            (Sink::File(path), _) => _ = spawn_local(file::run(path, targets.sync, notices, handle)),
        }
        sink_queues.push(sink_tx);
    }
    let mut pending = PendingNotices::new(sink_queues.len());
    loop {
        tokio::select! {
            biased;
            notice = queue.recv() => {
                let Some(notice) = notice else { return };
                pending.add(notice.id);
                for sink_tx in &sink_queues {
                    let _ = sink_tx.send(notice.clone());
                }
            }
            acknowledgement = acknowledgements.recv() => {
                let Some((sink_index, ids)) = acknowledgement else { return };
                let delivered = pending.acknowledge(sink_index, ids);
                if !delivered.is_empty() && core.send(Input::NoticesDelivered(delivered)).await.is_err() {
                    return;
                }
            }
        }
    }
}
