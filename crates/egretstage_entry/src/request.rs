//! Parsing and validation of callers' HTTP requests.

use crate::CallKey;
use compact_str::CompactString;
use egretstage_config::token_digest;
use egretstage_routing::PrefixFingerprint;
use egretstage_wire::{CallKind, ModelName, RequestId, ServiceName};
use serde::Deserialize;
use std::time::Duration;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Maximum number of output tokens for a request without a limit of its own.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Approximate number of bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Path of chat-completions requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// An HTTP request before validation.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `Authorization` header.
    pub authorization: Option<String>,
    /// `Egret-Budget-Ms` header.
    pub budget_ms: Option<String>,
    /// `Egret-Priority` header.
    pub priority: Option<String>,
    /// `Idempotency-Key` header.
    pub key: Option<String>,
    /// `Content-Type` header.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Limits on the time budget of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Budget of a request without one of its own.
    pub default_budget: Duration,
    /// Maximum budget that a request may ask for.
    pub max_budget: Duration,
}

/// A validated request.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Key of the request within the entry.
    pub call: CallKey,
    /// Identifier of the request in answers and log lines.
    pub request: RequestId,
    /// Digest of the caller's bearer token.
    pub token_digest: CompactString,
    /// The model or service that it asks for.
    pub target: Target,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query at the upstream.
    pub path: CompactString,
    /// Media type of the body.
    pub content_type: Option<CompactString>,
    /// The caller's idempotency key.
    pub key: Option<CompactString>,
    /// Priority that the caller asks for.
    pub priority: Option<u8>,
    /// Time budget at arrival.
    pub budget: Duration,
    /// Body.
    pub body: Vec<u8>,
}

/// The model or service that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A chat completion.
    Chat {
        /// The model asked for.
        model: ModelName,
        /// Estimated number of prompt tokens.
        prompt_tokens: u32,
        /// Maximum number of output tokens.
        max_tokens: u32,
        /// Fingerprint of the prompt's leading blocks.
        prompt: PrefixFingerprint,
    },
    /// A call of a plain service.
    Plain {
        /// The service.
        service: ServiceName,
    },
}

impl Target {
    /// Returns the protocol of the call.
    #[must_use]
    pub fn kind(&self) -> CallKind {
        match self {
            Self::Chat { .. } => CallKind::Chat,
            Self::Plain { .. } => CallKind::Plain,
        }
    }
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The path is neither that of chat completions nor that of a service.
    #[error("path {0:?} is neither {CHAT_PATH} nor below {SERVICES_PREFIX}NAME")]
    Path(String),
    /// The method isn't allowed for the path.
    #[error("method {0} is not allowed here, allowed is POST")]
    Method(String),
    /// The bearer token is missing.
    #[error("the Authorization header must be 'Bearer TOKEN'")]
    Token,
    /// A header has a value that isn't allowed.
    #[error("header {header}: {reason}")]
    Header {
        /// The header.
        header: &'static str,
        /// The allowed values.
        reason: String,
    },
    /// The body isn't a chat-completions request.
    #[error("body: {0}")]
    Body(String),
}

impl InvalidRequest {
    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Path(_) => 404,
            Self::Method(_) => 405,
            Self::Token => 401,
            Self::Header { .. } | Self::Body(_) => 400,
        }
    }
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<serde_json::Value>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

impl CallRequest {
    /// Parses and validates a raw request.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with the allowed values.
    pub fn from_raw(
        raw: RawRequest,
        call: CallKey,
        request: RequestId,
        limits: &RequestLimits,
    ) -> Result<Self, InvalidRequest> {
        let (target, path) = parse_target(&raw)?;
        let token = raw
            .authorization
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or(InvalidRequest::Token)?;
        Ok(Self {
            call,
            request,
            token_digest: token_digest(token.trim()),
            target,
            method: raw.method.into(),
            path,
            content_type: raw.content_type.map(Into::into),
            key: raw.key.as_deref().map(parse_key).transpose()?,
            priority: raw.priority.as_deref().map(parse_priority).transpose()?,
            budget: parse_budget(raw.budget_ms.as_deref(), limits)?,
            body: raw.body,
        })
    }
}

fn parse_target(raw: &RawRequest) -> Result<(Target, CompactString), InvalidRequest> {
    if raw.path == CHAT_PATH {
        if raw.method != "POST" {
            return Err(InvalidRequest::Method(raw.method.clone()));
        }
        return Ok((parse_chat_target(&raw.body)?, CHAT_PATH.into()));
    }
    let unknown_path = || InvalidRequest::Path(raw.path.chars().take(200).collect());
    let rest = raw
        .path
        .strip_prefix(SERVICES_PREFIX)
        .ok_or_else(unknown_path)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service = ServiceName::try_from(name).map_err(|_| unknown_path())?;
    let path = if path.starts_with('/') {
        CompactString::from(path)
    } else {
        compact_str::format_compact!("/{path}")
    };
    Ok((Target::Plain { service }, path))
}

fn parse_chat_target(body: &[u8]) -> Result<Target, InvalidRequest> {
    let chat: ChatBody =
        serde_json::from_slice(body).map_err(|e| InvalidRequest::Body(e.to_string()))?;
    let model = ModelName::try_from(chat.model.as_str())
        .map_err(|e| InvalidRequest::Body(e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(InvalidRequest::Body("messages is empty".to_owned()));
    }
    let prompt: String = chat.messages.iter().map(ToString::to_string).collect();
    Ok(Target::Chat {
        model,
        prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        max_tokens: chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prompt: PrefixFingerprint::from_text(prompt.as_bytes()),
    })
}

fn parse_key(text: &str) -> Result<CompactString, InvalidRequest> {
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(InvalidRequest::Header {
            header: "Idempotency-Key",
            reason: format!("allowed are 1 to {MAX_KEY_BYTES} bytes"),
        });
    }
    Ok(text.into())
}

fn parse_priority(text: &str) -> Result<u8, InvalidRequest> {
    text.parse().map_err(|_| InvalidRequest::Header {
        header: "Egret-Priority",
        reason: "allowed are 0 to 255".to_owned(),
    })
}

fn parse_budget(text: Option<&str>, limits: &RequestLimits) -> Result<Duration, InvalidRequest> {
    let Some(text) = text else {
        return Ok(limits.default_budget);
    };
    let max_ms = limits.max_budget.as_millis();
    text.parse()
        .ok()
        .map(Duration::from_millis)
        .filter(|budget| !budget.is_zero() && *budget <= limits.max_budget)
        .ok_or_else(|| InvalidRequest::Header {
            header: "Egret-Budget-Ms",
            reason: format!("allowed are 1 to {max_ms}"),
        })
}
