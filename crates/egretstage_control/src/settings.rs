//! Addresses that `egretctl` uses, from options and a settings file.

use miette::{IntoDiagnostic, WrapErr};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable that names a settings file.
pub const SETTINGS_VARIABLE: &str = "EGRETCTL_SETTINGS";

/// Addresses of the platform and the nodes; options take precedence over the
/// settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Endpoints {
    /// Base URL of the log service.
    pub log_url: Option<String>,
    /// Base URL of the instance list.
    pub list_url: Option<String>,
    /// Admin addresses of nodes.
    pub nodes: Vec<SocketAddr>,
}

impl Endpoints {
    /// Fills the addresses that no option gave from a settings file: the given
    /// one, else the one that [`SETTINGS_VARIABLE`] names.
    pub(crate) fn fill_from_file(mut self, file: Option<PathBuf>) -> miette::Result<Self> {
        let file = file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
        let Some(path) = file else {
            return Ok(self);
        };
        let name = path.display();
        let text = std::fs::read_to_string(&path)
            .into_diagnostic()
            .wrap_err_with(|| format!("can't read {name}"))?;
        let from_file: Self = toml::from_str(&text)
            .into_diagnostic()
            .wrap_err_with(|| format!("{name} can't be used"))?;
        self.log_url = self.log_url.or(from_file.log_url);
        self.list_url = self.list_url.or(from_file.list_url);
        if self.nodes.is_empty() {
            self.nodes = from_file.nodes;
        }
        Ok(self)
    }
}
