//! The plan of a run: which faults strike the sender's process, and when. It does no I/O.
use std::time::Duration;

/// A fault of the sender's process or its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// SIGKILL, and a new process on the same folder.
    Kill,
    /// SIGTERM, SIGKILL at the end of the termination time, and a new process.
    Terminate,
    /// The process stands still for this time.
    Pause(Duration),
    /// Writes to files fail for this time.
    FailDisk(Duration),
}

/// A fault, and when it strikes, counted from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedFault {
    pub at: Duration,
    pub fault: ProcessFault,
}

/// What happens in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    pub seed: u64,
    /// How long clients submit messages.
    pub duration: Duration,
    /// Fraction of the answers of endpoints that are struck by a fault of their connection.
    pub faulty_answers: f64,
    /// In order of their times.
    pub faults: Vec<TimedFault>,
}

/// The time between two faults of the process, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 700..3_500;
/// How long a process stands still, in milliseconds: less than the grace of any rule.
const PAUSE_MS: std::ops::Range<u64> = 20..150;
/// How long writes fail, in milliseconds.
const DISK_FAILURE_MS: std::ops::Range<u64> = 100..2_500;

impl SoakPlan {
    /// The plan of this seed.
    pub fn new(seed: u64, duration: Duration) -> SoakPlan {
        let mut random = fastrand::Rng::with_seed(seed);
        let faulty_answers = 0.05 + 0.25 * random.f64();
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(random.u64(FAULT_INTERVAL_MS));
        while at < duration {
            let millis = Duration::from_millis;
            let fault = match random.u32(0..10) {
                0..=2 => ProcessFault::Kill,
                3 => ProcessFault::Terminate,
                4..=6 => ProcessFault::Pause(millis(random.u64(PAUSE_MS))),
                _ => ProcessFault::FailDisk(millis(random.u64(DISK_FAILURE_MS))),
            };
            faults.push(TimedFault { at, fault });
            at += millis(random.u64(FAULT_INTERVAL_MS));
        }
        SoakPlan { seed, duration, faulty_answers, faults }
    }
}
