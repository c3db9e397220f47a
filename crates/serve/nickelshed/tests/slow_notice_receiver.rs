//! Tests of a receiver of notices that answers, but late.
use nickelshed_testkit::*;
use serde_json::json;
use std::collections::HashSet;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// More notices than fit into one request.
const MESSAGE_COUNT: usize = 400;

fn answer_reports_late(discovery: &Discovery, delay: Duration) {
    let server = discovery.server.clone();
    discovery.server.prepend_script(move |request| {
        let is_report = request.start_line.starts_with("POST /reports ");
        is_report.then(|| {
            let (server, connection) = (server.clone(), request.connection);
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                server.write_to(connection, "HTTP/1.1 204 No Content\r\n\r\n");
            });
            Reply::Hang
        })
    });
}

/// Guards against notices that are never posted, because no answer to the ones before them is ever read.
#[test]
fn all_notices_reach_a_receiver_whose_answers_are_late() {
    std::thread::scope(|scope| {
        for delay_ms in [1_500, 2_900] {
            scope.spawn(move || {
                let discovery = Discovery::new(json!([terminating_instance(7)]));
                answer_reports_late(&discovery, Duration::from_millis(delay_ms));
                let sender = SenderProcess::start(PROGRAM, &discovery);
                let ids: HashSet<String> =
                    (0..MESSAGE_COUNT).map(|number| format!("{number:0>200}")).collect();
                for id in &ids {
                    assert_eq!(sender.submit("order", id, 7, 1_000, b"x"), 202);
                }
                sender.wait_until("a notice for each message", || {
                    let notices = discovery.notices();
                    let named: HashSet<&str> = notices.iter().filter_map(|n| n["message"].as_str()).collect();
                    ids.iter().all(|id| named.contains(id.as_str()))
                });
            });
        }
    });
}
