//! Reads settings files and reports where they are invalid.

use crate::suggest::with_suggestion;
use compact_str::CompactString;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A key is missing, unknown or has a value that isn't allowed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(Box<InvalidSetting>),
}

/// A key that is missing, unknown or has a value that isn't allowed.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{path}:{line}: {key}{message}")]
pub struct InvalidSetting {
    /// The file.
    path: String,
    /// The line, counted from 1.
    line: usize,
    /// The key with its table and a colon; empty if the line sets no key.
    key: String,
    /// What is wrong and what is allowed.
    message: CompactString,
    /// The file's text.
    #[source_code]
    text: NamedSource<String>,
    /// The location in the text.
    #[label("here")]
    span: SourceSpan,
}

/// A value that isn't allowed, by itself or together with another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The key, without its table.
    pub key: &'static str,
    /// What is wrong and what is allowed.
    pub message: CompactString,
}

/// Settings that are read from a file.
pub trait SettingsFile: DeserializeOwned {
    /// Checks what the types of the values can't express, such as values that
    /// depend on each other.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value isn't allowed.
    fn check(&self) -> Result<(), InvalidValue>;
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error that names the file, the line, the key and what is
/// allowed.
pub fn load<T: SettingsFile>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    parse(&path.display().to_string(), &text)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// Returns an error that names the file, the line, the key and what is
/// allowed.
pub fn parse<T: SettingsFile>(path: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = toml::from_str(text).map_err(|e| {
        let span = e.span().unwrap_or(0..0);
        invalid_setting(path, text, span, &with_suggestion(e.message()))
    })?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(value) => {
            let span = span_of_key(text, value.key);
            Err(invalid_setting(path, text, span, &value.message))
        }
    }
}

fn invalid_setting(path: &str, text: &str, span: Range<usize>, message: &str) -> SettingsError {
    let before = &text[..span.start.min(text.len())];
    SettingsError::Invalid(Box::new(InvalidSetting {
        path: path.to_owned(),
        line: before.matches('\n').count() + 1,
        key: key_on_line(text, before.len()).map_or_else(String::new, |key| format!("{key}: ")),
        message: message.into(),
        text: NamedSource::new(path, text.to_owned()),
        span: span.into(),
    }))
}

/// Returns the key that the line at an offset sets, with its table.
fn key_on_line(text: &str, offset: usize) -> Option<String> {
    let start = text[..offset].rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[start..].lines().next()?;
    let (key, _) = line.split_once('=')?;
    let table = text[..start].lines().rev().find_map(table_name);
    Some(match table {
        Some(table) => format!("{table}.{}", key.trim()),
        None => key.trim().to_owned(),
    })
}

fn table_name(line: &str) -> Option<&str> {
    line.trim().strip_prefix('[')?.strip_suffix(']')
}

/// Returns the range of the first line that sets a key, else an empty range at
/// the start.
fn span_of_key(text: &str, key: &str) -> Range<usize> {
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        let sets_key = line.split_once('=').is_some_and(|(k, _)| k.trim() == key);
        if sets_key {
            return start..start + line.trim_end().len();
        }
        start += line.len();
    }
    0..0
}
