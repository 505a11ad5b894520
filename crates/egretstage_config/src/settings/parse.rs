//! Reads settings files and says where they are wrong.

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
    /// The key with its table, if one stands at the place.
    key: String,
    /// What is allowed.
    message: CompactString,
    /// The file's text.
    #[source_code]
    text: NamedSource<String>,
    /// The place in the text.
    #[label("here")]
    span: SourceSpan,
}

/// A value that clashes with another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The key, without its table.
    pub key: &'static str,
    /// What is allowed.
    pub message: CompactString,
}

/// Settings that are read from a file.
pub trait SettingsFile: DeserializeOwned {
    /// Checks values against each other.
    ///
    /// # Errors
    ///
    /// Returns the key whose value clashes with another one.
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
        invalid(path, text, span, &with_suggestion(e.message()))
    })?;
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(clash) => {
            let span = place_of(text, clash.key);
            Err(invalid(path, text, span, &clash.message))
        }
    }
}

fn invalid(path: &str, text: &str, span: Range<usize>, message: &str) -> SettingsError {
    let before = &text[..span.start.min(text.len())];
    SettingsError::Invalid(Box::new(InvalidSetting {
        path: path.to_owned(),
        line: before.matches('\n').count() + 1,
        key: key_at(text, before.len()).map_or_else(String::new, |key| format!("{key}: ")),
        message: message.into(),
        text: NamedSource::new(path, text.to_owned()),
        span: span.into(),
    }))
}

/// Returns the key that stands on the line of a place, with its table.
fn key_at(text: &str, at: usize) -> Option<String> {
    let start = text[..at].rfind('\n').map_or(0, |newline| newline + 1);
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

/// Returns the place of the first line that sets a key, else the start.
fn place_of(text: &str, key: &str) -> Range<usize> {
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        let sets = line.split_once('=').is_some_and(|(k, _)| k.trim() == key);
        if sets {
            return start..start + line.trim_end().len();
        }
        start += line.len();
    }
    0..0
}
