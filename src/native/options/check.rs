//! Reads the fields of a JSON object and collects all errors instead of stopping at the first.

use std::{collections::BTreeSet, fmt::Debug, ops::RangeInclusive, str::FromStr};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

use crate::ids::SharedName;

/// Longest name that is allowed, in bytes.
const NAME_LIMIT: usize = 128;

/// One key whose value is not allowed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{key}: {value} is not allowed; allowed: {allowed}")]
pub struct OptionError {
    /// Path of the key, such as `rows[2].weight`.
    pub key: String,
    /// The value as JSON, or `(missing)`.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Reader of one JSON object.
#[derive(Debug)]
pub struct FieldReader<'a> {
    object: &'a Map<String, Value>,
    prefix: String,
    seen: BTreeSet<&'static str>,
    errors: Vec<OptionError>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of `value`; errors name its keys under `prefix`.
    pub fn new(value: &'a Value, prefix: &str) -> Result<Self, OptionError> {
        let object = value.as_object().ok_or_else(|| OptionError {
            key: if prefix.is_empty() { "(whole file)".into() } else { prefix.into() },
            value: value.to_string(),
            allowed: "a JSON object".into(),
        })?;
        Ok(Self { object, prefix: prefix.into(), seen: BTreeSet::new(), errors: Vec::new() })
    }

    fn path(&self, key: &str) -> String {
        if self.prefix.is_empty() { key.into() } else { format!("{}.{key}", self.prefix) }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Value> {
        self.seen.insert(key);
        self.object.get(key).filter(|value| !value.is_null())
    }

    /// Allows `key` without reading it.
    pub fn ignore(&mut self, key: &'static str) {
        self.seen.insert(key);
    }

    /// Records an error: the value of `key` is not allowed.
    pub fn reject(&mut self, key: &'static str, allowed: impl Into<String>) {
        let value = self.object.get(key).map_or("(missing)".into(), Value::to_string);
        let error = OptionError { key: self.path(key), value, allowed: allowed.into() };
        self.errors.push(error);
    }

    /// Required name; see [`is_name`].
    pub fn name(&mut self, key: &'static str) -> SharedName {
        match self.get(key).and_then(Value::as_str) {
            Some(text) if is_name(text) => text.into(),
            _ => {
                self.reject(key, "1 to 128 printable characters without spaces or slashes");
                "".into()
            }
        }
    }

    /// Number within `range`, or `default` when absent.
    pub fn number(&mut self, key: &'static str, range: RangeInclusive<f64>, default: f64) -> f64 {
        match self.get(key) {
            None => default,
            Some(value) => match value.as_f64().filter(|number| range.contains(number)) {
                Some(number) => number,
                None => {
                    self.reject(key, format!("a number from {} to {}", range.start(), range.end()));
                    default
                }
            },
        }
    }

    /// Integer within `range`, or `default` when absent.
    pub fn count(&mut self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        match self.get(key) {
            None => default,
            Some(value) => match value.as_u64().filter(|number| range.contains(number)) {
                Some(number) => number,
                None => {
                    let (low, high) = (range.start(), range.end());
                    self.reject(key, format!("a whole number from {low} to {high}"));
                    default
                }
            },
        }
    }

    /// `true` or `false`, or `default` when absent.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.get(key) {
            None => default,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.reject(key, "true or false");
                default
            }
        }
    }

    /// Required value that is parsed from text, such as an address.
    pub fn parsed<T: FromStr + Clone + Debug>(
        &mut self,
        key: &'static str,
        allowed: &str,
        fallback: T,
    ) -> T {
        let parsed = self.get(key).and_then(Value::as_str).and_then(|text| text.parse().ok());
        parsed.unwrap_or_else(|| {
            self.reject(key, allowed);
            fallback
        })
    }

    /// List of values that are parsed from text; empty when absent.
    pub fn parsed_list<T: FromStr>(&mut self, key: &'static str, allowed: &str) -> Vec<T> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let parsed = value.as_array().and_then(|items| {
            items.iter().map(|item| item.as_str()?.parse().ok()).collect::<Option<Vec<T>>>()
        });
        parsed.unwrap_or_else(|| {
            self.reject(key, allowed);
            Vec::new()
        })
    }

    /// One of `choices`, or the first when absent.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> T {
        let default = choices[0].1;
        let Some(value) = self.get(key) else { return default };
        let found = choices.iter().find(|(name, _)| value.as_str() == Some(name));
        match found {
            Some((_, choice)) => *choice,
            None => {
                let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
                self.reject(key, format!("one of {}", names.join(", ")));
                default
            }
        }
    }

    /// Returns all errors, including one for each key that was never read.
    pub fn finish(mut self) -> Vec<OptionError> {
        for (key, value) in self.object {
            if !self.seen.contains(key.as_str()) {
                let known: Vec<&str> = self.seen.iter().copied().collect();
                self.errors.push(OptionError {
                    key: self.path(key),
                    value: value.to_string(),
                    allowed: format!("only the keys {}", known.join(", ")),
                });
            }
        }
        self.errors
    }
}

/// Whether `text` may name an account, a service, a key or a zone.
pub fn is_name(text: &str) -> bool {
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    !text.is_empty() && text.len() <= NAME_LIMIT && printable
}
