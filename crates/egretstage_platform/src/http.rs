//! HTTP calls that the clients share.

use crate::PlatformError;
use crate::limited_transport::LimitedConnector;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, DefaultConnector};

/// Longest time for a call of a client that states no timeout of its own.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest body of an answer to a client that states no limit of its own.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Number of bytes of a refusal's body that are kept.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;

/// Bytes of an answer, with its head, framing and trailers, for each byte that its body
/// may have: a chunk of a few bytes has more bytes of framing.
const FRAMING_FACTOR: u64 = 4;

pub(crate) fn agent() -> ureq::Agent {
    agent_with_limit(MAX_ANSWER_BYTES)
}

/// Creates the agent of a client whose answers have bodies of at most `max_body_bytes`.
fn agent_with_limit(max_body_bytes: u64) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build();
    limited_agent(config, max_body_bytes)
}

/// Creates an HTTP agent that gives up an answer without an end.
///
/// Answers may have bodies of `max_body_bytes`, and some more in heads, the framing of
/// chunks and trailers.
#[must_use]
pub fn limited_agent(config: ureq::config::Config, max_body_bytes: u64) -> ureq::Agent {
    let max_bytes = max_body_bytes.saturating_mul(FRAMING_FACTOR);
    let connector = DefaultConnector::default().chain(LimitedConnector { max_bytes });
    ureq::Agent::with_parts(config, connector, DefaultResolver::default())
}

pub(crate) fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, PlatformError> {
    decode_json(url, &read_body(url, agent.get(url).call())?)
}

pub(crate) fn post<T: DeserializeOwned>(
    agent: &ureq::Agent,
    url: &str,
    body: &impl Serialize,
) -> Result<T, PlatformError> {
    decode_json(url, &read_body(url, agent.post(url).send_json(body))?)
}

fn decode_json<T: DeserializeOwned>(url: &str, body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed {
        url: url.to_owned(),
        reason: e.to_string(),
    })
}

fn read_body(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, PlatformError> {
    read_answer(url, result, MAX_ANSWER_BYTES)?.into_success_body()
}

fn read_answer(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    max_bytes: u64,
) -> Result<HttpAnswer, PlatformError> {
    let no_answer = |e: ureq::Error| PlatformError::NoAnswer {
        url: url.to_owned(),
        reason: e.to_string(),
    };
    let mut resp = result.map_err(no_answer)?;
    let body = resp.body_mut().with_config().limit(max_bytes);
    let body = body.read_to_vec().map_err(no_answer)?;
    Ok(HttpAnswer {
        url: url.to_owned(),
        status: resp.status().as_u16(),
        headers: resp.headers().clone(),
        body,
    })
}

/// A complete HTTP answer with any status.
#[derive(Debug)]
pub struct HttpAnswer {
    url: String,
    status: u16,
    headers: ureq::http::HeaderMap,
    body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the URL that was called.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns the value of a header that is present and holds text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] unless the status is 2xx.
    pub fn into_success_body(self) -> Result<Vec<u8>, PlatformError> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        let body = &self.body[..self.body.len().min(MAX_REFUSAL_BYTES)];
        Err(PlatformError::Refused {
            url: self.url,
            status: self.status,
            body: String::from_utf8_lossy(body).into_owned(),
        })
    }
}

/// A client of a platform service whose bodies aren't all JSON.
///
/// The timeout of a call is the wait that it asks the service for, plus the
/// answer timeout.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    base: String,
    answer_timeout: Duration,
    max_answer_bytes: u64,
}

impl HttpClient {
    /// Creates a client of the service at a base URL.
    ///
    /// `answer_timeout` is the longest time for an answer beyond the wait that a call
    /// asks for, and `max_answer_bytes` the largest body of an answer: a faulty service
    /// may send bytes without an end.
    #[must_use]
    pub fn new(base: &str, answer_timeout: Duration, max_answer_bytes: u64) -> Self {
        Self {
            agent: agent_with_limit(max_answer_bytes),
            base: base.trim_end_matches('/').to_owned(),
            answer_timeout,
            max_answer_bytes,
        }
    }

    /// Returns a client with another answer timeout that shares the connections
    /// of this one.
    #[must_use]
    pub fn with_answer_timeout(&self, answer_timeout: Duration) -> Self {
        Self {
            answer_timeout,
            ..self.clone()
        }
    }

    /// Gets a path and returns the body; the service may wait up to `wait` before
    /// it answers.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives or its status isn't 2xx.
    pub fn get(&self, path: &str, wait: Duration) -> Result<Vec<u8>, PlatformError> {
        self.get_answer(path, wait)?.into_success_body()
    }

    /// Gets a path and returns the answer with any status.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives.
    pub fn get_answer(&self, path: &str, wait: Duration) -> Result<HttpAnswer, PlatformError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(self.answer_timeout + wait);
        let req = self.agent.get(&url).config().timeout_global(timeout);
        read_answer(&url, req.build().call(), self.max_answer_bytes)
    }

    /// Posts bytes to a path and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives or its status isn't 2xx.
    /// After [`PlatformError::NoAnswer`] the call may have taken effect.
    pub fn post(
        &self,
        path: &str,
        content_type: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, PlatformError> {
        self.post_answer(path, content_type, body)?
            .into_success_body()
    }

    /// Posts bytes to a path and returns the answer with any status.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives; the call may have taken effect.
    pub fn post_answer(
        &self,
        path: &str,
        content_type: &str,
        body: &[u8],
    ) -> Result<HttpAnswer, PlatformError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(self.answer_timeout);
        let req = self.agent.post(&url).config().timeout_global(timeout);
        let req = req.build().header("content-type", content_type);
        read_answer(&url, req.send(body), self.max_answer_bytes)
    }
}
