//! Discovery's stand-in: the list of endpoints, its watches, and the notices to the platform.
use crate::peer::{http_reply, FakeServer, HttpMessage, Reply};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// The list's version, its entries, and whether discovery is silent.
type DiscoveryState = (u64, Value, bool);

/// Discovery: a list that can be changed, watches that wait for it, and the notices.
#[derive(Clone)]
pub struct Discovery {
    pub server: FakeServer,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn new(instances: Value) -> Discovery {
        let state = Arc::new((Mutex::new((1, instances, false)), Condvar::new()));
        let shared = state.clone();
        let peer = FakeServer::new(move |_| Reply::Close);
        let script = move |request: &HttpMessage| {
            if request.start_line.starts_with("POST /reports ") {
                return http_reply("204 No Content", "", "");
            }
            let (lock, news) = &*shared;
            let mut state = lock.lock().unwrap();
            let index = request.start_line.split_once("index=").and_then(|(_, r)| r.split(['&', ' ']).next());
            let index = index.and_then(|i| i.parse::<u64>().ok());
            if index.is_some_and(|i| i >= state.0) {
                // Short, so that the peer's one script is soon free for the notices.
                state = news.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            }
            let fresh = index.is_none_or(|i| i < state.0);
            let instances = if fresh { state.1.clone() } else { json!([]) };
            let list = json!({"generation": state.0, "reset": fresh, "instances": instances});
            match state.2 {
                true => Reply::Hang,
                false => http_reply("200 OK", "", &list.to_string()),
            }
        };
        peer.set_script(script);
        Discovery { server: peer, state }
    }

    pub fn set_instances(&self, instances: Value) {
        let mut state = self.state.0.lock().unwrap();
        (state.0, state.1) = (state.0 + 1, instances);
        self.state.1.notify_all();
    }

    /// No list is answered any more; notices are.
    pub fn stop_answering(&self) {
        self.state.0.lock().unwrap().2 = true;
    }

    pub fn resume_answering(&self) {
        self.state.0.lock().unwrap().2 = false;
    }

    pub fn notices(&self) -> Vec<Value> {
        notices(&self.server.received())
    }

    pub fn wait_for_notice(&self, id: &str) -> Value {
        let of = |seen: &[HttpMessage]| notices(seen).into_iter().find(|n| n["message"] == id);
        let seen = self.server.wait_until(&format!("a notice for {id}"), |s| of(s).is_some());
        of(&seen).unwrap()
    }
}

fn notices(seen: &[HttpMessage]) -> Vec<Value> {
    let posts = seen.iter().filter(|r| r.start_line.starts_with("POST /reports "));
    let text =
        posts.flat_map(|r| String::from_utf8_lossy(&r.body).lines().map(String::from).collect::<Vec<_>>());
    text.map(|l| serde_json::from_str(&l).unwrap()).collect()
}

pub fn instance(name: &str, at: SocketAddr, dest: u64, kind: &str, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": at.to_string(), "zone": "z", "machineType": kind, "cell": dest,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn ready_instance(name: &str, at: SocketAddr, dest: u64) -> Value {
    instance(name, at, dest, "plain", "Ready")
}

/// An entry that names a destination and takes nothing.
pub fn terminating_instance(dest: u64) -> Value {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    instance(&format!("closed-{dest}"), nowhere, dest, "plain", "Terminating")
}
