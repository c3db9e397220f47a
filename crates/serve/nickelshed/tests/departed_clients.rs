//! Clients that close their connection while requests of theirs have not been read yet.
use nickelshed_testkit::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const REQUESTS: usize = 200;
/// Longer than the sender takes for all requests of a connection.
const QUIET_PERIOD: Duration = Duration::from_millis(1_000);

/// Guards against an effect that happens twice because the client hands its message in again elsewhere.
#[test]
fn requests_of_a_client_that_has_left_are_not_sent_on() {
    for unread_answers in [false, true] {
        let endpoint = FakeServer::new(|_| ok_reply());
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let sender = SenderProcess::start(PROGRAM, &discovery);
        let requests: Vec<u8> = (0..REQUESTS)
            .flat_map(|i| submission_request("order", &format!("m{i}"), 7, 16_000, b"x"))
            .collect();
        let mut client = TcpStream::connect(sender.address).unwrap();
        // While the sender stands still the requests are in its receive buffer when the client leaves.
        if unread_answers {
            client.write_all(&submission_request("order", "first", 7, 16_000, b"x")).unwrap();
            endpoint.wait_for_message("first", 1);
        }
        sender.pause();
        client.write_all(&requests).unwrap();
        drop(client);
        sender.resume();
        std::thread::sleep(QUIET_PERIOD);
        let sent_on = endpoint.received().iter().filter(|r| r.message_id().starts_with('m')).count();
        assert_eq!(sent_on, 0, "unread answers: {unread_answers}");
    }
}
