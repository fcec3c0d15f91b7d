//! Logs and traces of the process, set up once by the binary.
//!
//! Spans are created even if they are not exported, so that trace contexts are passed on.

use dahliaseam_settings::{
    error::SettingsError,
    settings::{LogFormat, Settings},
};
use opentelemetry::{global, propagation::Injector, trace::TracerProvider as _};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{propagation::TraceContextPropagator, trace::SdkTracerProvider};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};

use crate::error::StartError;

/// Keeps the trace exporter running.
#[derive(Debug)]
pub struct Telemetry {
    provider: SdkTracerProvider,
}

impl Telemetry {
    /// Sets up logs and traces according to the settings.
    ///
    /// # Errors
    /// Why they cannot be set up.
    pub fn start(settings: &Settings) -> Result<Self, StartError> {
        global::set_text_map_propagator(TraceContextPropagator::new());
        let provider = provider(settings)?;
        let tracer = provider.tracer("dahliaseamd");
        let filter = EnvFilter::try_new(&settings.log.filter)
            .map_err(|e| SettingsError::Value("log.filter".to_owned(), e.to_string()))?;
        let lines = match settings.log.format {
            LogFormat::Json => tracing_subscriber::fmt::layer().json().with_writer(std::io::stderr).boxed(),
            LogFormat::Text => tracing_subscriber::fmt::layer().with_writer(std::io::stderr).boxed(),
        };
        tracing_subscriber::registry()
            .with(lines.with_filter(filter))
            .with(tracing_opentelemetry::layer().with_tracer(tracer).with_filter(EnvFilter::new("dahliaseamd=info")))
            .try_init()
            .map_err(|e| StartError::Telemetry(e.to_string()))?;
        Ok(Self { provider })
    }

    /// Exports the remaining spans and shuts the exporter down.
    pub fn flush(&self) {
        let _ = self.provider.shutdown();
    }
}

fn provider(settings: &Settings) -> Result<SdkTracerProvider, StartError> {
    let builder = SdkTracerProvider::builder();
    let Some(endpoint) = &settings.otlp_endpoint else {
        return Ok(builder.build());
    };
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpJson)
        .with_endpoint(endpoint)
        .build()
        .map_err(|e| StartError::Telemetry(e.to_string()))?;
    Ok(builder.with_batch_exporter(exporter).build())
}

struct HeaderInjector<'a>(&'a mut http::HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = http::HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, http::HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

struct HeaderExtractor<'a>(&'a http::HeaderMap);

impl opentelemetry::propagation::Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

/// Adds the span's trace context to a request's headers.
pub fn inject(span: &Span, headers: &mut http::HeaderMap) {
    let cx = span.context();
    global::get_text_map_propagator(|p| p.inject_context(&cx, &mut HeaderInjector(headers)));
}

/// Makes the span a child of the trace context in a request's headers.
pub fn continue_trace(span: &Span, headers: &http::HeaderMap) {
    let cx = global::get_text_map_propagator(|p| p.extract(&HeaderExtractor(headers)));
    // Fails only without a subscriber, and then there is no trace to continue.
    let _ = span.set_parent(cx);
}
