//! The calls that the clients share.

use crate::PlatformError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

pub(crate) fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

pub(crate) fn get<T: DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, PlatformError> {
    json(url, &read(url, agent.get(url).call())?)
}

pub(crate) fn post<T: DeserializeOwned>(
    agent: &ureq::Agent,
    url: &str,
    body: &impl Serialize,
) -> Result<T, PlatformError> {
    json(url, &read(url, agent.post(url).send_json(body))?)
}

fn json<T: DeserializeOwned>(url: &str, body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed {
        url: url.to_owned(),
        reason: e.to_string(),
    })
}

fn read(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Vec<u8>, PlatformError> {
    answer(url, result)?.into_success_body()
}

fn answer(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<HttpAnswer, PlatformError> {
    let no_answer = |e: ureq::Error| PlatformError::NoAnswer {
        url: url.to_owned(),
        reason: e.to_string(),
    };
    let mut resp = result.map_err(no_answer)?;
    let body = resp.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = body.read_to_vec().map_err(no_answer)?;
    Ok(HttpAnswer {
        url: url.to_owned(),
        status: resp.status().as_u16(),
        headers: resp.headers().clone(),
        body,
    })
}

/// An answer, whatever its status.
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

    /// Returns a header's value, if there is one and it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Refused`] unless the answer is a success.
    pub fn into_success_body(self) -> Result<Vec<u8>, PlatformError> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        Err(PlatformError::Refused {
            url: self.url,
            status: self.status,
            body: String::from_utf8_lossy(&self.body).into_owned(),
        })
    }
}

/// Calls a service of the platform whose bodies are not all JSON.
///
/// Each call has a timeout of its own: that of the wait that it asks for and
/// the time for an answer.
#[derive(Clone, Debug)]
pub struct HttpClient {
    agent: ureq::Agent,
    base: String,
    answer_timeout: Duration,
}

impl HttpClient {
    /// Uses the service at a base URL; `answer_timeout` is the longest time
    /// for an answer beyond the wait that a call asks for.
    #[must_use]
    pub fn new(base: &str, answer_timeout: Duration) -> Self {
        Self {
            agent: agent(),
            base: base.trim_end_matches('/').to_owned(),
            answer_timeout,
        }
    }

    /// Returns a client that shares the connections and waits for so long.
    #[must_use]
    pub fn with_answer_timeout(&self, answer_timeout: Duration) -> Self {
        Self {
            answer_timeout,
            ..self.clone()
        }
    }

    /// Gets a path, whose answer may take `wait` longer than others.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer, or with one that isn't a success.
    pub fn get(&self, path: &str, wait: Duration) -> Result<Vec<u8>, PlatformError> {
        self.get_answer(path, wait)?.into_success_body()
    }

    /// Gets a path and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer.
    pub fn get_answer(&self, path: &str, wait: Duration) -> Result<HttpAnswer, PlatformError> {
        let url = format!("{}{path}", self.base);
        let timeout = Some(self.answer_timeout + wait);
        let req = self.agent.get(&url).config().timeout_global(timeout);
        answer(&url, req.build().call())
    }

    /// Posts bytes to a path.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer, or with one that isn't a success.
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

    /// Posts bytes to a path and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns an error without an answer; the call may have taken effect.
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
        answer(&url, req.send(body))
    }
}
