//! Converts bodies of every supported schema version to one validated type,
//! and back to the newest version.

mod service;

use crate::record::InvalidReason;
use crate::{
    ModelGroupBody, OrganisationBody, PlacementRuleBody, RecordBody, RecordKind, ServiceBody,
    suggest,
};
use compact_str::{CompactString, format_compact};
use egretstage_wire::ObjectName;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Length of a SHA-256 digest in hexadecimal characters.
const TOKEN_DIGEST_CHARS: usize = 64;

/// Parses and validates a body of a kind and schema version.
pub(crate) fn parse(
    kind: RecordKind,
    schema: u16,
    name: &ObjectName,
    body: &Value,
) -> Result<RecordBody, InvalidReason> {
    let newest = kind.newest_schema();
    if !(1..=newest).contains(&schema) {
        return Err(InvalidReason::UnsupportedSchema { schema, newest });
    }
    match kind {
        RecordKind::Organisation => {
            let body = check_organisation(parse_json(body)?)?;
            Ok(RecordBody::Organisation(parse_name(name)?, body))
        }
        RecordKind::Service => {
            let body = match schema {
                1 => ServiceBody::from(parse_json::<service::ServiceBodyV1>(body)?),
                _ => ServiceBody::from(parse_json::<service::ServiceBodyV2>(body)?),
            };
            Ok(RecordBody::Service(parse_name(name)?, body))
        }
        RecordKind::ModelGroup => {
            let body = check_model_group(parse_json(body)?)?;
            Ok(RecordBody::ModelGroup(parse_name(name)?, body))
        }
        RecordKind::PlacementRule => {
            let body: PlacementRuleBody = parse_json(body)?;
            Ok(RecordBody::PlacementRule(name.as_str().into(), body))
        }
    }
}

/// Writes a validated body in the newest schema version of its kind.
///
/// # Panics
///
/// Never; validated bodies are plain data, which can always be serialised.
#[must_use]
pub fn write_newest_schema(body: &RecordBody) -> Value {
    match body {
        RecordBody::Organisation(_, body) => to_json(body),
        RecordBody::Service(_, body) => to_json(&service::ServiceBodyV2::from(body.clone())),
        RecordBody::ModelGroup(_, body) => to_json(body),
        RecordBody::PlacementRule(_, body) => to_json(body),
    }
}

fn to_json(body: &impl Serialize) -> Value {
    serde_json::to_value(body).expect("a validated body can be serialised")
}

fn check_organisation(body: OrganisationBody) -> Result<OrganisationBody, InvalidReason> {
    if !(body.weight.is_finite() && body.weight > 0.0) {
        let reason = format_compact!(
            "{} is not allowed, allowed are numbers above 0",
            body.weight
        );
        return Err(InvalidReason::field("body.weight", &reason));
    }
    let is_digest =
        |text: &CompactString| text.len() == TOKEN_DIGEST_CHARS && text.bytes().all(is_lower_hex);
    match body.token_digests.iter().position(|text| !is_digest(text)) {
        None => Ok(body),
        Some(index) => Err(InvalidReason::field(
            &format_compact!("body.token_digests[{index}]"),
            "not a SHA-256 digest, allowed are 64 characters of 0-9, a-f",
        )),
    }
}

fn is_lower_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}

fn check_model_group(body: ModelGroupBody) -> Result<ModelGroupBody, InvalidReason> {
    if body.ranks == 0 {
        let reason = "0 is not allowed, allowed are 1 to 65535";
        return Err(InvalidReason::field("body.ranks", reason));
    }
    Ok(body)
}

fn parse_json<T: DeserializeOwned>(body: &Value) -> Result<T, InvalidReason> {
    serde_path_to_error::deserialize(body).map_err(|e| {
        let path = e.path().to_string();
        let path = path.trim_start_matches('.');
        let field = match path {
            "" | "." => CompactString::from("body"),
            path if path.starts_with('[') => format_compact!("body{path}"),
            path => format_compact!("body.{path}"),
        };
        InvalidReason::field(
            &field,
            &suggest::with_suggestion(&e.into_inner().to_string()),
        )
    })
}

fn parse_name<T>(name: &ObjectName) -> Result<T, InvalidReason>
where
    T: for<'a> TryFrom<&'a str, Error = egretstage_wire::InvalidName>,
{
    T::try_from(name.as_str()).map_err(|e| InvalidReason::Name(format_compact!("{e}")))
}
