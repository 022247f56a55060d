//! Builds paths and queries of URLs from text that may contain any characters.

use derive_more::Display;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// All ASCII characters but those that stand for themselves everywhere in a URL (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Path and query of a URL. Text that is added to it is encoded, so that it never ends the segment or the value
/// that it belongs to.
#[derive(Clone, Debug, Display)]
#[display("{text}")]
pub struct UrlPath {
    text: String,
    /// Character before the next query parameter.
    separator: char,
}

impl UrlPath {
    /// Creates a path that begins with `root`, which is not encoded.
    pub fn new(root: &'static str) -> Self {
        Self { text: root.to_owned(), separator: '?' }
    }

    /// Adds a segment.
    pub fn segment(mut self, text: &str) -> Self {
        self.text.push('/');
        match text {
            // As they are, these name the same or the outer folder.
            "." => self.text.push_str("%2E"),
            ".." => self.text.push_str("%2E%2E"),
            _ => self.push_encoded(text),
        }
        self
    }

    /// Adds a query parameter.
    pub fn query(mut self, name: &'static str, value: impl ToString) -> Self {
        self.text.push(self.separator);
        self.separator = '&';
        self.text.push_str(name);
        self.text.push('=');
        self.push_encoded(&value.to_string());
        self
    }

    fn push_encoded(&mut self, text: &str) {
        self.text.extend(utf8_percent_encode(text, RESERVED));
    }
}

impl From<UrlPath> for String {
    fn from(path: UrlPath) -> Self {
        path.text
    }
}
