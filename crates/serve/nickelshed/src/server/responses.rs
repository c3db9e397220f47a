//! The answers of the server that do not come from the core.
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// The answer to a client that is turned away before its request is read.
pub const UNREAD_REQUEST_REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";

pub fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// An error response that closes the connection, because the request body was not read or its length cannot
/// be trusted.
pub fn error_and_close(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    and_close(text_response(status, text))
}

pub fn and_close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

pub fn method_not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = error_and_close(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

pub fn unavailable(retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
