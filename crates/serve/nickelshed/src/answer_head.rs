//! Reads the raw bytes of answers, which may be incomplete or followed by other data. It does no I/O.
use crate::socket::MAX_HEADERS;
use hyper::header::{HeaderMap, CONTENT_LENGTH, RETRY_AFTER};
use nickelshed_policy::api::Outcome;
use std::time::Duration;

/// Upper bound, in seconds, of a `Retry-After` value; no message lives that long.
const MAX_RETRY_AFTER_S: f64 = 1e6;

/// Maps a response to the outcome of the attempt and whether the message is finished, as the protocol defines
/// it. After a status that the protocol does not define, the attempt may have run.
pub fn outcome_of_status(status: u16, headers: &HeaderMap) -> (Outcome, bool) {
    match status {
        200 => (Outcome::Served, true),
        429 => (Outcome::TurnedAway, false),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => (Outcome::NotSent, false),
        503 => (Outcome::TurnedAway, false),
        410 => (Outcome::NotSent, true),
        400 | 413 | 504 => (Outcome::NotSent, false),
        _ => (Outcome::ServerError, false),
    }
}

/// Skips interim (1xx) responses and returns the received bytes after them.
pub fn final_head(mut bytes: &[u8]) -> &[u8] {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(n)) if matches!(head.code, Some(100..=199)) => bytes = &bytes[n..],
            _ => return bytes,
        }
    }
}

/// The head of the final response, up to the empty line that ends it; None if it is incomplete or cannot be
/// parsed.
pub fn complete_head(bytes: &[u8]) -> Option<&[u8]> {
    let bytes = final_head(bytes);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::Response::new(&mut headers).parse(bytes) {
        Ok(httparse::Status::Complete(length)) => Some(&bytes[..length]),
        _ => None,
    }
}

/// The status of the final response, once its status line has been received completely.
pub fn received_status(bytes: &[u8]) -> Option<u16> {
    let head = final_head(bytes);
    let line = head.split(|&b| b == b'\n').next().filter(|line| line.len() < head.len())?;
    let mut words = line.trim_ascii_end().splitn(3, |&b| b == b' ');
    words.next().filter(|version| version.starts_with(b"HTTP/1."))?;
    std::str::from_utf8(words.next()?).ok()?.parse().ok()
}

/// The value of a header in these bytes, whatever the case of its name. The headers before an incomplete one
/// count.
fn received_header<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let _ = head.parse(bytes);
    let header = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok()
}

/// The body of the final response and the bytes behind it, if its length is known and it has been received
/// completely.
fn split_at_body_end(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let head = complete_head(bytes)?;
    let body_length: usize = received_header(head, CONTENT_LENGTH.as_str())?.trim().parse().ok()?;
    final_head(bytes).get(head.len()..)?.split_at_checked(body_length)
}

/// The body of the final response, if its length is known and it has been received completely.
pub fn complete_body(bytes: &[u8]) -> Option<&[u8]> {
    split_at_body_end(bytes).map(|(body, _)| body)
}

/// The bytes behind the final response; empty if there are none, or if its end is not known.
pub fn bytes_behind_answer(bytes: &[u8]) -> &[u8] {
    split_at_body_end(bytes).map_or(&[], |(_, behind)| behind)
}

/// The wait that unsolicited data asks for, if it begins with the head of an answer. It may be the answer to a
/// call that a copy has ended, and its wait binds all the same.
pub fn unsolicited_retry_after(bytes: &[u8]) -> Option<Duration> {
    parse_retry_after(received_header(bytes, RETRY_AFTER.as_str())?)
}

/// Parses `Retry-After` in seconds, with or without a decimal fraction.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER_S)))
}

#[cfg(test)]
mod tests;
