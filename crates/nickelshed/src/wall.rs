//! The wall clock, for what outlasts the process.
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
}
