//! The life of one sender's process: what it has done on its disk and its network, counted, and what befalls it in the
//! middle of that. Its folder and its connections ask here before each operation and for each byte.
use std::cell::Cell;
use std::io;
use tokio::sync::Notify;
use tokio::time::Instant;

/// In the middle of what a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPoint {
    /// The operation on the folder with this number, from 0. Of a write, this part (in 256ths) has been done.
    Operation(u64, u16),
    /// After this many bytes sent, over all connections.
    Byte(u64),
}

/// What its processes did over a day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCounters {
    pub operations: u64,
    pub bytes: u64,
    /// Times that it met its host: took, made or closed a connection, read, wrote, or used its disk.
    pub steps: u64,
}

/// The place of a happening: just before or just after a step, which are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultPoint {
    pub step: u64,
    pub after: bool,
    /// The process is killed there; whatever else happens is for others to do, who wait for `crossed`.
    pub kills_process: bool,
}

#[derive(Default)]
pub struct ProcessRun {
    /// Its sender's number.
    pub sender: usize,
    counters: Cell<ProcessCounters>,
    kill_point: Cell<Option<KillPoint>>,
    fault_point: Cell<Option<FaultPoint>>,
    fault_point_reached: Cell<bool>,
    fault_point_notify: Notify,
    killed: Cell<bool>,
    /// Until when its disk says nothing.
    disk_stalled_until: Cell<Option<Instant>>,
    /// Until when its process stands still in an operation on the disk.
    blocked_until: Cell<Option<Instant>>,
    state_changed: Notify,
}

impl ProcessRun {
    pub fn new(sender: usize, kill_point: Option<KillPoint>) -> ProcessRun {
        ProcessRun { sender, kill_point: Cell::new(kill_point), ..ProcessRun::default() }
    }

    pub fn set_fault_point(&self, point: FaultPoint) {
        self.fault_point.set(Some(point));
    }

    /// A step begins. Its number, to be given when it is done; None if the process has ended, also just now.
    pub fn begin_step(&self) -> Option<u64> {
        if self.killed.get() {
            return None;
        }
        let done = self.counters.get();
        self.counters.set(ProcessCounters { steps: done.steps + 1, ..done });
        self.check_fault_point(done.steps, false);
        (!self.killed.get()).then_some(done.steps)
    }

    /// That step is done.
    pub fn end_step(&self, step: u64) {
        self.check_fault_point(step, true);
    }

    fn check_fault_point(&self, step: u64, after: bool) {
        let here = |m: &FaultPoint| m.step == step && m.after == after;
        let Some(point) = self.fault_point.get().filter(here) else { return };
        self.fault_point.set(None);
        if point.kills_process {
            self.kill();
        }
        self.fault_point_reached.set(true);
        self.fault_point_notify.notify_one();
    }

    /// Comes back when the marked place is reached.
    pub async fn fault_point_reached(&self) {
        while !self.fault_point_reached.get() {
            self.fault_point_notify.notified().await;
        }
    }

    pub fn counters(&self) -> ProcessCounters {
        self.counters.get()
    }

    /// It has ended in the middle of something, and nothing that it does counts.
    pub fn is_killed(&self) -> bool {
        self.killed.get()
    }

    /// A new process begins; it is not cut again.
    pub fn start(&self) {
        self.killed.set(false);
        self.blocked_until.set(None);
    }

    /// Its disk says nothing until then.
    pub fn stall_disk(&self, until: Instant) {
        self.disk_stalled_until.set(Some(until));
    }

    /// Until when its process stands still now.
    pub fn blocked_until(&self) -> Option<Instant> {
        self.blocked_until.get().filter(|until| *until > Instant::now())
    }

    /// Comes back when it has ended in the middle of something, or stands still.
    pub async fn killed_or_blocked(&self) {
        loop {
            let state_changed = self.state_changed.notified();
            if self.killed.get() || self.blocked_until().is_some() {
                return;
            }
            state_changed.await;
        }
    }

    fn kill(&self) {
        self.kill_point.set(None);
        self.killed.set(true);
        self.state_changed.notify_one();
    }

    /// An operation on the folder begins. `Some(part)`: it is the last one, and so many 256ths of it are done.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn on_operation(&self) -> io::Result<Option<u16>> {
        // What befalls the process just after it is just before its next step: nothing is seen outside in between.
        if self.begin_step().is_none() {
            return Err(io::Error::other("the process has ended"));
        }
        let done = self.counters.get();
        self.counters.set(ProcessCounters { operations: done.operations + 1, ..done });
        if let Some(until) = self.disk_stalled_until.get().filter(|until| *until > Instant::now()) {
            // Nothing of the process goes on before the disk does.
            self.blocked_until.set(Some(until));
            self.state_changed.notify_one();
        }
        match self.kill_point.get() {
            Some(KillPoint::Operation(number, part)) if number == done.operations => {
                self.kill();
                Ok(Some(part))
            }
            _ => Ok(None),
        }
    }

    /// So many of these bytes are sent; none from one that has ended.
    pub fn on_send(&self, bytes: usize) -> usize {
        if self.killed.get() {
            return 0;
        }
        let done = self.counters.get();
        let sent = match self.kill_point.get() {
            Some(KillPoint::Byte(last)) if done.bytes + bytes as u64 >= last => {
                self.kill();
                last.saturating_sub(done.bytes) as usize
            }
            _ => bytes,
        };
        self.counters.set(ProcessCounters { bytes: done.bytes + sent as u64, ..done });
        sent
    }

    /// When what it sends now leaves it.
    pub fn departure_time(&self) -> Instant {
        self.blocked_until().unwrap_or_else(Instant::now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn it_ends_at_the_very_byte_and_nothing_counts_after_it() {
        let life = ProcessRun::new(0, Some(KillPoint::Byte(10)));
        assert_eq!((life.on_send(6), life.is_killed()), (6, false));
        assert_eq!((life.on_send(6), life.is_killed()), (4, true));
        assert_eq!((life.on_send(6), life.counters().bytes), (0, 10));
        assert!(life.on_operation().is_err());
        life.start();
        assert_eq!(life.on_send(6), 6);
    }

    #[tokio::test]
    async fn a_happening_is_placed_before_or_after_its_step_and_once() {
        for after in [false, true] {
            let life = ProcessRun::new(0, None);
            life.set_fault_point(FaultPoint { step: 1, after, kills_process: true });
            let first = life.begin_step().expect("it lives");
            life.end_step(first);
            assert_eq!((life.is_killed(), life.begin_step()), (false, after.then_some(1)));
            life.end_step(1);
            assert!(life.is_killed());
            life.fault_point_reached().await;
            life.start();
            assert_eq!(life.begin_step(), Some(2));
            assert!(!life.is_killed(), "the next process is not met by it");
        }
    }

    #[test]
    fn it_ends_in_the_very_operation() {
        let life = ProcessRun::new(0, Some(KillPoint::Operation(1, 128)));
        assert!(matches!(life.on_operation(), Ok(None)));
        assert!(matches!(life.on_operation(), Ok(Some(128))));
        assert!(life.on_operation().is_err() && life.on_send(1) == 0);
    }

    #[tokio::test(start_paused = true)]
    async fn it_stands_still_from_the_first_operation_on_a_disk_that_says_nothing_until_that_is_over() {
        let life = ProcessRun::new(0, None);
        let until = Instant::now() + Duration::from_secs(2);
        life.stall_disk(until);
        assert_eq!(life.blocked_until(), None, "it has not touched its disk");
        assert!(life.on_operation().is_ok());
        life.killed_or_blocked().await;
        assert_eq!((life.blocked_until(), life.departure_time()), (Some(until), until));
        tokio::time::sleep_until(until).await;
        assert_eq!(life.blocked_until(), None);
    }
}
