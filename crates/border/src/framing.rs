//! Checks that a response is an answer, and states unambiguously where its body ends.
//!
//! The HTTP library accepts any status of three digits from 100 on. Below 200 it is no final answer (RFC 9110, section 15.2), and 101
//! would hand the connection to a protocol that nobody asked for; above 599 there are none.
//!
//! The HTTP library rejects lengths that differ, but accepts a length beside a transfer coding, and transfer codings
//! other than `chunked`, whose bytes it does not decode (RFC 9112, section 6.3). The body of such a response is not the
//! one that its sender meant, or its recipients disagree on where it ends.

use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

use crate::error::FormatError;

/// The lowest status of a final answer.
const MIN_STATUS: u16 = 200;
/// The highest status of the last class.
const MAX_STATUS: u16 = 599;

/// Checks the status and the headers of a response.
///
/// # Errors
/// Names the status, or the header that is ambiguous or not supported.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), FormatError> {
    if !(MIN_STATUS..=MAX_STATUS).contains(&status.as_u16()) {
        return Err(FormatError::Invalid("status", format!("{} is no status of an answer", status.as_u16())));
    }
    let has_length = headers.contains_key(CONTENT_LENGTH);
    if headers.contains_key(TRANSFER_ENCODING) {
        return check_coding(headers, has_length);
    }
    let is_number = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
    if !headers.get_all(CONTENT_LENGTH).iter().all(is_number) {
        return Err(FormatError::Invalid("Content-Length", "expected one number".to_owned()));
    }
    Ok(())
}

fn check_coding(headers: &HeaderMap, has_length: bool) -> Result<(), FormatError> {
    if has_length {
        return Err(FormatError::Invalid("Transfer-Encoding", "present beside Content-Length".to_owned()));
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = codings.next().is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if !is_chunked || codings.next().is_some() {
        return Err(FormatError::Invalid("Transfer-Encoding", "expected only chunked".to_owned()));
    }
    Ok(())
}
