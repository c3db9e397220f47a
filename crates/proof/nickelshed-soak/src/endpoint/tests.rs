use super::*;
use nickelshed_judge::{judge, Event, Rule, RuleParameters};
use nickelshed_testkit::submission_request;

const ID: &str = "m1x1-0";
/// A connection from a sender, with the request that has been read from it.
struct Incoming {
    sender_side: TcpStream,
    stream: TcpStream,
    request: HttpMessage,
}

fn connect() -> Incoming {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender_side = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    sender_side.write_all(&submission_request("alert", ID, 1, 9_000, b"x")).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let request = read_http_message(&mut BufReader::new(stream.try_clone().unwrap()), 0).unwrap();
    Incoming { sender_side, stream, request }
}

fn endpoint() -> Shared {
    Shared::new(1, 1, 0.0, History::new())
}

fn ends(events: &[Event]) -> Vec<u64> {
    let ended = |event: &Event| match event.kind {
        EventKind::Over { call, .. } => Some(call),
        _ => None,
    };
    let mut ends: Vec<u64> = events.iter().filter_map(ended).collect();
    ends.sort_unstable();
    ends
}

fn are_at_once(events: &[Event]) -> bool {
    let submission = EventKind::HandedIn {
        sender: 0,
        id: ID.into(),
        message: 0,
        class: 0,
        effect: nickelshed_judge::Effect::Keyed,
        dest: 1,
        lifetime: 9_000_000,
    };
    let mut events = events.to_vec();
    events.insert(0, Event { at: 0, kind: submission });
    judge(&events, RuleParameters::default()).iter().any(|violation| violation.rule == Rule::AtOnce)
}

/// Guards against blaming the sender for two attempts at once where the endpoint reads the first one late: its
/// thread sees the request when the sender has closed the connection and called again.
#[test]
fn call_that_is_read_after_its_close_counts_as_earlier_than_the_one_that_replaced_it() {
    let endpoint = endpoint();
    let (mut given_up, replacement) = (connect(), connect());
    drop(given_up.sender_side);
    while !has_been_closed(&given_up.stream) {
        std::thread::sleep(Duration::from_millis(1));
    }
    given_up.request.received_at = replacement.request.received_at + Duration::from_micros(470);
    endpoint.begin_call(2, &replacement.request, &replacement.stream);
    endpoint.begin_call(1, &given_up.request, &given_up.stream);
    endpoint.end_call(1, ID, Instant::now(), CallEnd::Closed);
    endpoint.end_call(2, ID, Instant::now(), CallEnd::Answered { status: 200, retry_after: 0 });
    let events = endpoint.history.sorted_events();
    assert!(!are_at_once(&events), "{events:?}");
    assert_eq!(ends(&events), [1, 2]);
}

/// Guards against overlooking a real overlap, and against losing the end of the earlier call.
#[test]
fn two_calls_that_stay_open_are_reported_with_both_ends() {
    let endpoint = endpoint();
    let (first, second) = (connect(), connect());
    endpoint.begin_call(1, &first.request, &first.stream);
    endpoint.begin_call(2, &second.request, &second.stream);
    drop((first.sender_side, second.sender_side));
    endpoint.end_call(1, ID, Instant::now(), CallEnd::Answered { status: 200, retry_after: 0 });
    endpoint.end_call(2, ID, Instant::now(), CallEnd::Closed);
    let events = endpoint.history.sorted_events();
    assert!(are_at_once(&events), "{events:?}");
    assert_eq!(ends(&events), [1, 2]);
}
