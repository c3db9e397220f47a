//! Clients that send what can't be read, half of it, or slowly. Nothing of it may be taken on, and nobody else may notice.
use crate::http::Link;
use crate::stands::sender_address;
use crate::world::World;
use nickelshed_host::{Host, Stream};
use nickelshed_model::{random_stream, InjectedFault, Random};
use rand::{Rng, RngExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// How long one that says nothing more stays.
const STAY: Duration = Duration::from_secs(3);
const EVERY: Duration = Duration::from_millis(100);

/// Requests that are none. `{class}` stands for a class that there is.
const NONE: [&str; 16] = [
    "",
    "\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: r1",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\nX-Trace-Id: r2\r\nX-Consignee: dest=1\r\n\r\nx",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\nX-Trace-Id: r3\r\nX-Consignee: dest=1\r\n\r\nhalf of it",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\nX-Trace-Id: r4\r\nX-Consignee: dest=1\r\n\r\nxy",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\nX-Trace-Id: r5\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nX-Trace-Id: r6\r\nX-Consignee: dest=1\r\n\r\nZZ\r\n",
    "POST /no-such-class HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r7\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=1\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r9\r\nX-Expires-In-Ms: 900\r\nX-Consignee: dest=none\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r10\r\nX-Expires-In-Ms: 900\r\n\r\n",
    "POST /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r11\r\nX-Expires-In-Ms: soon\r\nX-Consignee: dest=1\r\n\r\n",
    "DELETE /{class} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Trace-Id: r12\r\nX-Consignee: dest=1\r\n\r\n",
    "GET /{class} HTTP/9.9\r\n\r\n",
    "\u{16}\u{3}\u{1}\u{2}\0\u{1}\0\u{1}\u{fc}\u{3}\u{3} a handshake for somebody else",
];

/// As long as the trouble lasts, `size` of them come to each sender every tenth of a second.
pub async fn visit(world: Rc<World>, trouble: InjectedFault, seed: u64) {
    let mut random = random_stream(seed, 5);
    let until = world.instant(trouble.end());
    let class = world.scenario.traffic_classes().first().map_or(String::new(), |c| c.name.clone());
    while Instant::now() < until {
        for sender in 0..world.scenario.senders as usize {
            for _ in 0..trouble.magnitude.round().max(1.0) as usize {
                let text = request(&mut random, &class);
                let ends = random.random::<bool>();
                spawn_local(guest(world.clone(), sender, text, ends));
            }
        }
        sleep(EVERY).await;
    }
}

/// One of the forms, or bytes of chance.
fn request(random: &mut Random, class: &str) -> Vec<u8> {
    let form = random.random_range(0..=NONE.len());
    match NONE.get(form) {
        Some(text) => text.replace("{class}", class).into_bytes(),
        None => {
            let mut bytes = vec![0; random.random_range(1..2_000)];
            random.fill_bytes(&mut bytes);
            bytes
        }
    }
}

async fn guest(world: Rc<World>, sender: usize, text: Vec<u8>, ends: bool) {
    let Ok(stream) = world.net.host(None).connect(sender_address(sender)).await else { return };
    if stream.write_all(&text).await.is_err() || ends && stream.end_sending().is_err() {
        return;
    }
    let mut link = Link::new(stream);
    let answer = timeout(STAY, link.read()).await;
    if let Ok(Some(answer)) = answer {
        if matches!(answer.status(), 200 | 202) {
            let what = String::from_utf8_lossy(&text).into_owned();
            world.crashes.borrow_mut().push(format!("sender {sender} took on what is no message: {what:?}"));
        }
    }
}
