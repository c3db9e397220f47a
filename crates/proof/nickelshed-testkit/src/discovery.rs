//! A fake discovery service: serves the list of endpoints and watches on it, and receives the platform's
//! notices.
use crate::fake_server::{http_reply, FakeServer, HttpMessage, Reply};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// The list's generation, its entries, and whether requests for the list are left without a response.
type DiscoveryState = (u64, Value, bool);

/// A fake discovery service whose list can be changed. It records the notices that the sender posts.
#[derive(Clone)]
pub struct Discovery {
    pub server: FakeServer,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    /// Starts the service. `instances` is the JSON array of the list's entries, at generation 1.
    pub fn new(instances: Value) -> Discovery {
        let state = Arc::new((Mutex::new((1, instances, false)), Condvar::new()));
        let shared = state.clone();
        let server = FakeServer::new(move |_| Reply::Close);
        let script = move |request: &HttpMessage| {
            if request.start_line.starts_with("POST /reports ") {
                return http_reply("204 No Content", "", "");
            }
            let (lock, list_changed) = &*shared;
            let mut state = lock.lock().unwrap();
            let index =
                request.start_line.split_once("index=").and_then(|(_, rest)| rest.split(['&', ' ']).next());
            let index = index.and_then(|text| text.parse::<u64>().ok());
            if index.is_some_and(|index| index >= state.0) {
                // The wait for a change is short because the server runs its script for one request at a
                // time: a long one would delay the answers to notices.
                state = list_changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            }
            let is_newer = index.is_none_or(|index| index < state.0);
            let instances = if is_newer { state.1.clone() } else { json!([]) };
            let list = json!({"generation": state.0, "reset": is_newer, "instances": instances});
            match state.2 {
                true => Reply::Hang,
                false => http_reply("200 OK", "", &list.to_string()),
            }
        };
        server.set_script(script);
        Discovery { server, state }
    }

    /// Replaces the list and raises its generation, which completes waiting watches.
    pub fn set_instances(&self, instances: Value) {
        let mut state = self.state.0.lock().unwrap();
        (state.0, state.1) = (state.0 + 1, instances);
        self.state.1.notify_all();
    }

    /// Leaves all requests for the list without a response from now on. Notices are still answered.
    pub fn stop_answering(&self) {
        self.state.0.lock().unwrap().2 = true;
    }

    pub fn resume_answering(&self) {
        self.state.0.lock().unwrap().2 = false;
    }

    /// Returns all notices received so far, repeated ones each time.
    pub fn notices(&self) -> Vec<Value> {
        notices(&self.server.received())
    }

    /// Waits for a notice on the message with this trace id and returns the first one. Panics if none comes
    /// within `WAIT_TIMEOUT`.
    pub fn wait_for_notice(&self, id: &str) -> Value {
        let find = |requests: &[HttpMessage]| notices(requests).into_iter().find(|n| n["message"] == id);
        let received =
            self.server.wait_until(&format!("a notice for {id}"), |requests| find(requests).is_some());
        find(&received).unwrap()
    }
}

fn notices(requests: &[HttpMessage]) -> Vec<Value> {
    let posts = requests.iter().filter(|r| r.start_line.starts_with("POST /reports "));
    let lines =
        posts.flat_map(|r| String::from_utf8_lossy(&r.body).lines().map(String::from).collect::<Vec<_>>());
    lines.map(|line| serde_json::from_str(&line).unwrap()).collect()
}

/// An entry of the list for an endpoint of the destination `dest`. `kind` is `plain` or `many` (several
/// messages in a call); `lifecycle` is `Ready`, `Terminating` or `Gone`.
pub fn instance(name: &str, address: SocketAddr, dest: u64, kind: &str, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "z", "machineType": kind,
        "cell": dest, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// An entry for a ready endpoint of kind `plain`, which gets one message per call.
pub fn ready_instance(name: &str, address: SocketAddr, dest: u64) -> Value {
    instance(name, address, dest, "plain", "Ready")
}

/// An entry that makes a destination known but gives it no endpoint to call: messages for it are accepted and
/// stay queued.
pub fn terminating_instance(dest: u64) -> Value {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    instance(&format!("closed-{dest}"), unused_address, dest, "plain", "Terminating")
}
