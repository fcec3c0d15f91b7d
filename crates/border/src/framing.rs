//! Checks that a response states unambiguously where its body ends.
//!
//! The HTTP library rejects lengths that differ, but accepts a length beside a transfer coding, and transfer codings
//! other than `chunked`, whose bytes it does not decode (RFC 9112, section 6.3). The body of such a response is not the
//! one that its sender meant, or its recipients disagree on where it ends.

use http::{
    HeaderMap, HeaderValue,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};

use crate::error::FormatError;

/// Checks the headers of a response.
///
/// # Errors
/// Names the header that is ambiguous or not supported.
pub fn check(headers: &HeaderMap) -> Result<(), FormatError> {
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
