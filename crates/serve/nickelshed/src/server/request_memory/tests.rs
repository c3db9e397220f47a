use super::*;

#[test]
fn permits_are_never_more_than_there_are_and_go_to_the_connection_that_came_last() {
    let memory = RequestMemory::new(2);
    let (first, second) = (memory.try_acquire().unwrap(), memory.try_acquire().unwrap());
    assert!(memory.try_acquire().is_none());
    let (mut earlier, mut later, gone) = (memory.wait(), memory.wait(), memory.wait());
    drop(gone);
    assert_eq!(memory.waiting_count(), 2);
    drop(first);
    let passed_on = later.try_recv().unwrap();
    assert!(earlier.try_recv().is_err() && memory.try_acquire().is_none());
    drop(second);
    // A permit that was passed to a connection that leaves without looking is not lost.
    drop(earlier);
    let only_free = memory.try_acquire().unwrap();
    assert!(memory.try_acquire().is_none());
    drop(only_free);
    drop(passed_on);
    let permits = [memory.try_acquire(), memory.try_acquire(), memory.try_acquire()];
    assert_eq!(permits.iter().flatten().count(), 2);
}
