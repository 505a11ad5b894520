//! Metrics of `opentelemetry` instruments in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Why metrics can't be set up or read.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter can't be built.
    #[error("the metrics exporter can't be built: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The metrics can't be encoded.
    #[error("the metrics can't be encoded: {0}")]
    Encode(#[from] prometheus::Error),
}

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that creates the instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("egretstage")
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
