//! The state of one sender's process: counts its operations on disk and network, and kills or blocks it in
//! the middle of them. The simulated state folder and connections consult it before each operation and for
//! each byte sent.
use std::cell::Cell;
use std::io;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The point in the middle of an operation at which a process is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillPoint {
    /// In this operation on the state folder, counted from 0, with this part of a write (in 256ths) done.
    Operation(u64, u16),
    /// After this many bytes sent over all connections.
    Byte(u64),
}

/// What all processes of a sender did over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCounters {
    /// Operations on the state folder.
    pub operations: u64,
    /// Bytes sent over all connections and in datagrams.
    pub bytes: u64,
    /// Interactions with the host: accepting, opening or closing a connection, reading, writing, or using the
    /// disk.
    pub steps: u64,
}

/// Where a fault is injected: just before or just after a step. Steps are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultPoint {
    pub step: u64,
    pub after: bool,
    /// Whether the process is killed there. Any other fault is injected by the task that awaits
    /// [`ProcessRun::fault_point_reached`].
    pub kills_process: bool,
}

/// The state of a sender's processes, one after another.
#[derive(Default)]
pub struct ProcessRun {
    /// The number of the sender.
    pub sender: usize,
    counters: Cell<ProcessCounters>,
    kill_point: Cell<Option<KillPoint>>,
    fault_point: Cell<Option<FaultPoint>>,
    fault_point_reached: Cell<bool>,
    fault_point_notify: Notify,
    killed: Cell<bool>,
    /// The end of a disk stall; operations do not complete before it.
    disk_stalled_until: Cell<Option<Instant>>,
    /// The end of the disk operation in which the process is blocked.
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

    /// Begins a step. Returns its number for [`end_step`](Self::end_step), or None if the process has been
    /// killed, including by a fault point just before this step.
    pub fn begin_step(&self) -> Option<u64> {
        if self.killed.get() {
            return None;
        }
        let counters = self.counters.get();
        self.counters.set(ProcessCounters { steps: counters.steps + 1, ..counters });
        self.check_fault_point(counters.steps, false);
        (!self.killed.get()).then_some(counters.steps)
    }

    /// Ends the step with that number.
    pub fn end_step(&self, step: u64) {
        self.check_fault_point(step, true);
    }

    fn check_fault_point(&self, step: u64, after: bool) {
        let is_here = |p: &FaultPoint| p.step == step && p.after == after;
        let Some(point) = self.fault_point.get().filter(is_here) else { return };
        self.fault_point.set(None);
        if point.kills_process {
            self.kill();
        }
        self.fault_point_reached.set(true);
        self.fault_point_notify.notify_one();
    }

    /// Waits until the fault point is reached.
    pub async fn fault_point_reached(&self) {
        while !self.fault_point_reached.get() {
            self.fault_point_notify.notified().await;
        }
    }

    pub fn counters(&self) -> ProcessCounters {
        self.counters.get()
    }

    /// Whether the process has been killed in the middle of an operation. Nothing that it does from then on
    /// has an effect.
    pub fn is_killed(&self) -> bool {
        self.killed.get()
    }

    /// Starts a new process. A kill point that was reached does not apply again.
    pub fn start(&self) {
        self.killed.set(false);
        self.blocked_until.set(None);
    }

    /// Stalls the disk until a time.
    pub fn stall_disk(&self, until: Instant) {
        self.disk_stalled_until.set(Some(until));
    }

    /// Returns until when the process is blocked in a disk operation, or None if it is not.
    pub fn blocked_until(&self) -> Option<Instant> {
        self.blocked_until.get().filter(|until| *until > Instant::now())
    }

    /// Waits until the process is killed in the middle of an operation or blocked in one.
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

    /// Begins an operation on the state folder. `Some(part)` means that the process is killed in it with
    /// `part` 256ths done.
    ///
    /// # Errors
    /// If the process has been killed.
    pub fn on_operation(&self) -> io::Result<Option<u16>> {
        // The step needs no `end_step`: a fault just after a disk operation has the same effect as one just
        // before the next step, because nothing is visible outside in between.
        if self.begin_step().is_none() {
            return Err(io::Error::other("the process has been killed"));
        }
        let counters = self.counters.get();
        self.counters.set(ProcessCounters { operations: counters.operations + 1, ..counters });
        if let Some(until) = self.disk_stalled_until.get().filter(|until| *until > Instant::now()) {
            // The process makes no progress until the disk responds again.
            self.blocked_until.set(Some(until));
            self.state_changed.notify_one();
        }
        match self.kill_point.get() {
            Some(KillPoint::Operation(number, part)) if number == counters.operations => {
                self.kill();
                Ok(Some(part))
            }
            _ => Ok(None),
        }
    }

    /// Returns how many of these bytes are sent before the process is killed; 0 if it has been killed
    /// already.
    pub fn on_send(&self, bytes: usize) -> usize {
        if self.killed.get() {
            return 0;
        }
        let counters = self.counters.get();
        let sent = match self.kill_point.get() {
            Some(KillPoint::Byte(last)) if counters.bytes + bytes as u64 >= last => {
                self.kill();
                last.saturating_sub(counters.bytes) as usize
            }
            _ => bytes,
        };
        self.counters.set(ProcessCounters { bytes: counters.bytes + sent as u64, ..counters });
        sent
    }

    /// Returns when data that the process sends now leaves it: at once, or when it is no longer blocked.
    pub fn departure_time(&self) -> Instant {
        self.blocked_until().unwrap_or_else(Instant::now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn a_process_is_killed_at_the_exact_byte_and_sends_nothing_afterwards() {
        let process = ProcessRun::new(0, Some(KillPoint::Byte(10)));
        assert_eq!((process.on_send(6), process.is_killed()), (6, false));
        assert_eq!((process.on_send(6), process.is_killed()), (4, true));
        assert_eq!((process.on_send(6), process.counters().bytes), (0, 10));
        assert!(process.on_operation().is_err());
        process.start();
        assert_eq!(process.on_send(6), 6);
    }

    #[tokio::test]
    async fn a_fault_point_applies_once_before_or_after_its_step() {
        for after in [false, true] {
            let process = ProcessRun::new(0, None);
            process.set_fault_point(FaultPoint { step: 1, after, kills_process: true });
            let first = process.begin_step().expect("the process is running");
            process.end_step(first);
            assert_eq!((process.is_killed(), process.begin_step()), (false, after.then_some(1)));
            process.end_step(1);
            assert!(process.is_killed());
            process.fault_point_reached().await;
            process.start();
            assert_eq!(process.begin_step(), Some(2));
            assert!(!process.is_killed(), "the fault point does not apply to the next process");
        }
    }

    #[test]
    fn a_process_is_killed_in_the_exact_operation() {
        let process = ProcessRun::new(0, Some(KillPoint::Operation(1, 128)));
        assert!(matches!(process.on_operation(), Ok(None)));
        assert!(matches!(process.on_operation(), Ok(Some(128))));
        assert!(process.on_operation().is_err() && process.on_send(1) == 0);
    }

    #[tokio::test(start_paused = true)]
    async fn a_process_is_blocked_from_its_first_operation_on_a_stalled_disk_until_the_stall_ends() {
        let process = ProcessRun::new(0, None);
        let until = Instant::now() + Duration::from_secs(2);
        process.stall_disk(until);
        assert_eq!(process.blocked_until(), None, "it has not used its disk yet");
        assert!(process.on_operation().is_ok());
        process.killed_or_blocked().await;
        assert_eq!((process.blocked_until(), process.departure_time()), (Some(until), until));
        tokio::time::sleep_until(until).await;
        assert_eq!(process.blocked_until(), None);
    }
}
