//! Fingerprints that identify repeated requests: two requests are the same if account, method,
//! host, path, query and body are equal. Request ids and other headers differ between a client's
//! attempts.

use std::{fmt, str::FromStr};

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

use crate::{
    gateway::call::{Call, CallHead},
    ids::hash_parts,
};

/// Stands for the account in fingerprints of requests without one; account names are never empty.
const NO_ACCOUNT: &str = "";

/// Identifies a request by its content; the same for all attempts and at all daemons.
///
/// The content hash is cryptographic, so that nobody can construct a request with the fingerprint
/// of another account's request. The head hash is cheap and distinguishes most requests without
/// reading their bodies; it is compared first, so that fingerprints with the same head are
/// adjacent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint {
    /// Hash of everything but the body.
    pub head: u64,
    /// First 128 bits of the SHA-256 hash of the whole request.
    pub content: u128,
}

impl RequestFingerprint {
    /// Computes a request's fingerprint.
    pub fn of(account: Option<&str>, call: &Call) -> Self {
        let parts = head_parts(account, &call.head);
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(call.body.length().to_le_bytes());
        for segment in call.body.segments() {
            hasher.update(segment);
        }
        let mut content = [0; size_of::<u128>()];
        let whole = hasher.finalize();
        content.copy_from_slice(&whole[..size_of::<u128>()]);
        Self { head: hash_parts(&parts), content: u128::from_le_bytes(content) }
    }

    /// Computes only the field `head` of a request's fingerprint.
    pub fn head_of(account: Option<&str>, head: &CallHead) -> u64 {
        hash_parts(&head_parts(account, head))
    }
}

fn head_parts<'a>(account: Option<&'a str>, head: &'a CallHead) -> [&'a [u8]; 4] {
    let account = account.unwrap_or(NO_ACCOUNT);
    let method = head.method.as_str();
    [account.as_bytes(), method.as_bytes(), head.host.as_bytes(), head.target.as_bytes()]
}

/// Hexadecimal digits of a fingerprint's head.
const HEAD_DIGITS: usize = 16;
/// Hexadecimal digits of a whole fingerprint.
const DIGITS: usize = HEAD_DIGITS + 32;

/// The text is not a fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a fingerprint of {DIGITS} hexadecimal digits")]
pub struct BadFingerprint;

impl FromStr for RequestFingerprint {
    type Err = BadFingerprint;

    fn from_str(text: &str) -> Result<Self, BadFingerprint> {
        if text.len() != DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(BadFingerprint);
        }
        let (head, content) = text.split_at(HEAD_DIGITS);
        // Cannot fail: the number of digits was checked above.
        let head = u64::from_str_radix(head, 16).map_err(|_| BadFingerprint)?;
        let content = u128::from_str_radix(content, 16).map_err(|_| BadFingerprint)?;
        Ok(Self { head, content })
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:032x}", self.head, self.content)
    }
}
