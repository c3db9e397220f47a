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
use pending::Owed;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

#[derive(Clone)]
pub struct Notice {
    pub id: u64,
    pub trace: String,
    pub class: String,
    pub dest: u64,
    pub ending: Ending,
    /// Unix time in milliseconds.
    pub at: i64,
}

/// One sink's side of the dispatcher: formats notices for the sink's readers and acknowledges them.
pub struct Take {
    sink: usize,
    /// Included in the notices of a sidecar; None on the platform, which knows the sender it hears from.
    application: Option<Rc<str>>,
    done: mpsc::Sender<(usize, Vec<u64>)>,
}

impl Take {
    /// The notice as a JSON object, with a line break at the end.
    fn line(&self, notice: &Notice) -> String {
        let (outcome, after) = match notice.ending {
            Ending::GivenUp => ("given_up", None),
            Ending::HandedBack(after) => ("handed_back", after),
        };
        let mut line = json!({"message": notice.trace, "outcome": outcome});
        if let Some(ms) = after {
            line["retry_in_ms"] = json!(ms);
        }
        if let Some(application) = &self.application {
            line["application"] = json!(**application);
            line["class"] = json!(notice.class);
            line["destination"] = json!(notice.dest);
            line["at_ms"] = json!(notice.at);
        }
        format!("{line}\n")
    }

    /// Acknowledges written notices. Returns false if the dispatcher has ended.
    async fn taken(&self, ids: Vec<u64>) -> bool {
        self.done.send((self.sink, ids)).await.is_ok()
    }
}

/// What all sinks need to know.
pub struct Told {
    pub application: Option<String>,
    /// The platform's address; None for a sidecar without discovery.
    pub platform: Option<watch::Listener<SocketAddr>>,
    /// Whether a line in a file must be durable against a loss of power.
    pub sync: bool,
}

/// Passes every notice to every sink, and tells the core which notices all sinks have received.
pub async fn run<H: Host>(
    host: H,
    sinks: Vec<Sink>,
    told: Told,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    core: mpsc::Sender<Input>,
) {
    // One entry per sink is enough: each sink sends one acknowledgement at a time.
    let (done, mut reports) = mpsc::channel(sinks.len().max(1));
    let application: Option<Rc<str>> = told.application.map(Into::into);
    let mut queues = Vec::new();
    for (sink, to) in sinks.into_iter().enumerate() {
        let (to_sink, notices) = mpsc::unbounded_channel();
        let take = Take { sink, application: application.clone(), done: done.clone() };
        match (to, &told.platform) {
            (Sink::Platform, Some(place)) => {
                let receiver =
                    http::Receiver { place: place.clone(), path: "/reports".into(), takes: |s| s == 204 };
                spawn_local(http::run(host.clone(), receiver, notices, take));
            }
            (Sink::Platform, None) => continue,
            (Sink::Http { address, path }, _) => {
                let takes = |status| (200..300).contains(&status);
                let receiver = http::Receiver { place: watch::channel(address).1, path, takes };
                spawn_local(http::run(host.clone(), receiver, notices, take));
            }
            (Sink::File(path), _) => _ = spawn_local(file::run(path, told.sync, notices, take)),
        }
        queues.push(to_sink);
    }
    let mut owed = Owed::new(queues.len());
    loop {
        tokio::select! {
            biased;
            notice = queue.recv() => {
                let Some(notice) = notice else { return };
                owed.add(notice.id);
                for to_sink in &queues {
                    let _ = to_sink.send(notice.clone());
                }
            }
            report = reports.recv() => {
                let Some((sink, ids)) = report else { return };
                let over = owed.taken(sink, ids);
                if !over.is_empty() && core.send(Input::Noticed(over)).await.is_err() {
                    return;
                }
            }
        }
    }
}
