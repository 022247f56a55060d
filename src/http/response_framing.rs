//! How the head of a response marks the end of its body.
//!
//! The HTTP library reads every transfer coding that it doesn't know as a body that ends with its connection, prefers
//! chunks to a length, and takes 101 and statuses beyond 599 for responses. A client that reads such a head in another
//! way gets another body. So heads that can be read in several ways are rejected here, by RFC 9112, section 6.

use derive_more::{Display, Error};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderValue},
};

/// The only transfer coding that is used.
const CHUNKED: &[u8] = b"chunked";
/// Statuses of final responses.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length, which is known in advance.
    #[display("length")]
    Length,
    /// By its last chunk.
    #[display("chunks")]
    Chunks,
    /// By nothing but the end of the connection, which follows a whole body as well as a part of it.
    #[display("close")]
    Close,
}

/// Why the head of a response can't be read with certainty.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FramingError {
    /// The status is not that of a final response.
    #[display("status {_0} of no final response")]
    Status(#[error(not(source))] u16),
    /// There is a transfer coding other than `chunked`, or several.
    #[display("transfer coding other than chunked")]
    Coding,
    /// The length can't be read, or there are several that differ.
    #[display("length not readable")]
    Length,
    /// There is both a transfer coding and a length.
    #[display("length beside a transfer coding")]
    LengthAndCoding,
    /// A response that has no body by its status announces one.
    #[display("body announced by a response without one")]
    BodyOfNone,
}

/// Reads how the end of a response's body is marked.
///
/// # Errors
///
/// The head can be read in several ways.
pub fn read_framing<B>(response: &Response<B>) -> Result<BodyFraming, FramingError> {
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(FramingError::Status(status.as_u16()));
    }
    let is_chunked = read_coding(response.headers())?;
    let length = read_length(response.headers())?;
    let announces_body = is_chunked || length.is_some_and(|length| length > 0);
    if status == StatusCode::NO_CONTENT && announces_body {
        return Err(FramingError::BodyOfNone);
    }
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::LengthAndCoding),
        (true, None) => Ok(BodyFraming::Chunks),
        (false, Some(_)) => Ok(BodyFraming::Length),
        (false, None) => Ok(BodyFraming::Close),
    }
}

/// Whether the body is sent in chunks.
fn read_coding(headers: &HeaderMap) -> Result<bool, FramingError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
    match is_chunked && codings.next().is_none() {
        true => Ok(true),
        false => Err(FramingError::Coding),
    }
}

/// The length of the body. It may be repeated, in one line or in several.
fn read_length(headers: &HeaderMap) -> Result<Option<u64>, FramingError> {
    let mut length = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        for part in value.as_bytes().split(|byte| *byte == b',') {
            let part = parse_digits(part.trim_ascii()).ok_or(FramingError::Length)?;
            if length.is_some_and(|length| length != part) {
                return Err(FramingError::Length);
            }
            length = Some(part);
        }
    }
    Ok(length)
}

/// Parses a number of decimal digits only: `FromStr` would allow a sign.
fn parse_digits(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    // The digits of a number that is too large are no length either.
    is_number.then(|| std::str::from_utf8(text).ok()?.parse().ok()).flatten()
}

/// Replaces the length of a response, which may be repeated, by a single one; only for a head without framing errors.
pub fn unify_length(headers: &mut HeaderMap) {
    if let Ok(Some(length)) = read_length(headers) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
}
