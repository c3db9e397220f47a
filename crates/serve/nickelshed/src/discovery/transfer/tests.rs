use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn slow_list_is_read_to_its_end_while_it_makes_progress() {
    let start = Instant::now();
    let mut transfer = TransferDeadline::new(start + SECOND, start);
    let mut now = start;
    for _ in 0..25 {
        now += SECOND - Duration::from_millis(1);
        assert!(now < transfer.deadline());
        transfer.received(now, MIN_PROGRESS_BYTES);
    }
}

#[test]
fn answer_that_stalls_or_trickles_or_never_ends_is_given_up() {
    let start = Instant::now();
    let mut stalled = TransferDeadline::new(start, start);
    stalled.received(start + SECOND / 2, 1 << 20);
    assert_eq!(stalled.deadline(), start + SECOND / 2 + PROGRESS_PERIOD);

    let mut trickling = TransferDeadline::new(start, start);
    for step in 1..10 {
        trickling.received(start + SECOND / 10 * step, 100);
        assert_eq!(trickling.deadline(), start + PROGRESS_PERIOD);
    }

    let mut endless = TransferDeadline::new(start, start);
    for step in 1..1_000 {
        endless.received(start + SECOND / 10 * step, 1 << 20);
    }
    assert_eq!(endless.deadline(), start + MAX_TRANSFER_TIME);
}

#[test]
fn short_answer_may_take_as_long_as_its_request() {
    let start = Instant::now();
    let mut transfer = TransferDeadline::new(start + 6 * SECOND, start);
    transfer.received(start + 3 * SECOND, 10);
    assert_eq!(transfer.deadline(), start + 6 * SECOND);
}
