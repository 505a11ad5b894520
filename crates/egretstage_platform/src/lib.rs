//! Clients of the platform's log service, instance list and weight store.
//!
//! Each service is met through a trait object, so that reducers and tests
//! don't depend on HTTP.

mod instance_list;
mod log_service;
mod weight_store;

pub use instance_list::{HttpInstanceList, InstanceList, InstanceState, ListedInstance};
pub use log_service::{AppendLog, AppendRequest, HttpAppendLog, LogPage, LogRecord};
pub use weight_store::{HttpWeightStore, WeightStore, WeightTransfer};

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No answer came; the call may or may not have taken effect.
    #[error("no answer from {url}: {reason}")]
    NoAnswer {
        /// The URL called.
        url: String,
        /// What went wrong.
        reason: String,
    },
    /// The service refused the call; it took no effect.
    #[error("{url} refused: status {status}: {body}")]
    Refused {
        /// The URL called.
        url: String,
        /// HTTP status.
        status: u16,
        /// The answer's text.
        body: String,
    },
    /// The answer has an unexpected shape.
    #[error("{url} answered with an unexpected shape: {reason}")]
    Malformed {
        /// The URL called.
        url: String,
        /// What went wrong.
        reason: String,
    },
}

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{
        AppendLog, AppendRequest, HttpAppendLog, HttpInstanceList, HttpWeightStore, InstanceList,
        InstanceState, ListedInstance, LogPage, LogRecord, PlatformError, WeightStore,
        WeightTransfer,
    };
}

mod http {
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

    pub(crate) fn get<T: DeserializeOwned>(
        agent: &ureq::Agent,
        url: &str,
    ) -> Result<T, PlatformError> {
        read(url, agent.get(url).call())
    }

    pub(crate) fn post<T: DeserializeOwned>(
        agent: &ureq::Agent,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        read(url, agent.post(url).send_json(body))
    }

    fn read<T: DeserializeOwned>(
        url: &str,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<T, PlatformError> {
        let no_answer = |e: ureq::Error| PlatformError::NoAnswer {
            url: url.to_owned(),
            reason: e.to_string(),
        };
        let mut resp = result.map_err(no_answer)?;
        let status = resp.status().as_u16();
        let text = resp.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let text = text.read_to_string().map_err(no_answer)?;
        if !(200..300).contains(&status) {
            return Err(PlatformError::Refused {
                url: url.to_owned(),
                status,
                body: text,
            });
        }
        serde_json::from_str(&text).map_err(|e| PlatformError::Malformed {
            url: url.to_owned(),
            reason: e.to_string(),
        })
    }
}
