//! Draws what an endpoint answers, and what becomes of the answer on its way. It does no I/O.
use nickelshed_testkit::AnswerFault;
use std::time::Duration;

/// What an endpoint does with a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Whether the call takes effect.
    pub executes: bool,
    /// From the request to the answer; None if there is no answer.
    pub delay: Option<Duration>,
    /// The wait that the answer asks for.
    pub retry_after: Duration,
    /// The whole answer.
    pub bytes: Vec<u8>,
    pub fault: AnswerFault,
}

/// Length of the status line of these bytes, with its end.
pub fn status_line_length(bytes: &[u8]) -> usize {
    bytes.iter().position(|&byte| byte == b'\n').map_or(bytes.len(), |end| end + 1)
}

impl Answer {
    /// `faulty` is the fraction of answers with a fault; `reports_load` adds a header that seldom repeats.
    pub fn draw(random: &mut fastrand::Rng, faulty: f64, reports_load: bool) -> Answer {
        let status = match random.u32(0..100) {
            0..70 => 200,
            70..80 => 503,
            80..85 => 429,
            85..90 => 500,
            _ => 410,
        };
        let millis = Duration::from_millis;
        let retry_after = if status == 429 { millis(random.u64(100..500)) } else { Duration::ZERO };
        let executes = status == 200 || (status == 500 && random.bool());
        let delay = match random.u32(0..100) {
            0..90 => Some(millis(random.u64(0..60))),
            90..98 => Some(millis(random.u64(200..1_500))),
            _ => None,
        };
        let mut headers = String::from("Content-Length: 0\r\n");
        if status == 429 {
            headers += &format!("Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
        }
        if reports_load {
            headers += &format!("Endpoint-Load-Metrics: TEXT x0={:.4}, x1=900\r\n", random.f64());
        }
        let bytes = format!("HTTP/1.1 {status} X\r\n{headers}\r\n").into_bytes();
        let is_faulty = random.f64() < faulty;
        let fault = if is_faulty { draw_fault(random, bytes.len()) } else { AnswerFault::None };
        Answer { status, executes, delay, retry_after, bytes, fault }
    }

    /// How many bytes of the answer are passed on.
    pub fn passed_bytes(&self) -> usize {
        match self.fault {
            AnswerFault::None | AnswerFault::Copy(_) | AnswerFault::Reset(_) => self.bytes.len(),
            AnswerFault::CutOff(bytes, _) | AnswerFault::Stall(bytes) => bytes.min(self.bytes.len()),
            AnswerFault::Discard => 0,
        }
    }
}

fn draw_fault(random: &mut fastrand::Rng, length: usize) -> AnswerFault {
    let millis = Duration::from_millis;
    match random.u32(0..10) {
        0..=2 => AnswerFault::Copy(millis(random.u64(0..240))),
        3 => AnswerFault::Reset(millis(random.u64(0..50))),
        4..=6 => AnswerFault::Reset(millis(random.u64(250..700))),
        7 => AnswerFault::CutOff(random.usize(0..length), millis(random.u64(0..60))),
        8 => AnswerFault::Stall(random.usize(0..length)),
        _ => AnswerFault::Discard,
    }
}
