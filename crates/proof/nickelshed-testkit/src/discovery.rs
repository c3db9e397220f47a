//! A fake discovery service: serves the list of endpoints and watches on it, and receives the platform's
//! notices.
use crate::fake_server::{http_reply, FakeServer, HttpMessage, Reply};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The list's generation, its entries, and whether requests for the list are left without a response.
type DiscoveryState = (u64, Value, bool);

/// Where on its way an exchange with a slow discovery is held up.
#[derive(Clone, Copy, Debug)]
pub enum SlowPart {
    /// The request arrives late.
    Request,
    /// The whole answer is late.
    Answer,
    /// The head of the answer comes at once, and the list late.
    Body,
}

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
            match state.2 {
                true => Reply::Hang,
                false => http_reply("200 OK", "", &list_since(index, &state)),
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

    /// Holds up each exchange that begins from now on for so long. Requests are answered beside one another, and
    /// watches wait for as long as they ask for.
    pub fn slow_down(&self, part: SlowPart, delay: Duration) {
        let discovery = self.clone();
        self.server.prepend_script(move |request| {
            let is_list = request.start_line.starts_with("GET /v1/servers");
            is_list.then(|| {
                let (discovery, request) = (discovery.clone(), request.clone());
                std::thread::spawn(move || discovery.answer_slowly(&request, part, delay));
                Reply::Hang
            })
        });
    }

    fn answer_slowly(&self, request: &HttpMessage, part: SlowPart, delay: Duration) {
        let sleep_if = |is_slow: bool| std::thread::sleep(if is_slow { delay } else { Duration::ZERO });
        sleep_if(matches!(part, SlowPart::Request));
        let list = self.wait_for_list(request);
        sleep_if(matches!(part, SlowPart::Answer));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        self.server.write_to(request.connection, &head);
        sleep_if(matches!(part, SlowPart::Body));
        self.server.write_to(request.connection, &list);
    }

    /// Waits until the list is newer than the request asks for, at most for as long as it asks, and returns it.
    fn wait_for_list(&self, request: &HttpMessage) -> String {
        let parameter = |name: &str| -> Option<u64> {
            let (_, rest) = request.start_line.split_once(name)?;
            rest.split(['&', ' ']).next()?.parse().ok()
        };
        let index = parameter("index=");
        let deadline = Instant::now() + Duration::from_millis(parameter("wait=").unwrap_or(0));
        let (lock, list_changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        while index.is_some_and(|index| index >= state.0) && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            state = list_changed.wait_timeout(state, left).unwrap().0;
        }
        list_since(index, &state)
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

/// The whole list as JSON, or one without entries if it is not newer than the generation `index`.
fn list_since(index: Option<u64>, (generation, instances, _): &DiscoveryState) -> String {
    let is_newer = index.is_none_or(|index| index < *generation);
    let instances = if is_newer { instances.clone() } else { json!([]) };
    json!({"generation": generation, "reset": is_newer, "instances": instances}).to_string()
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
