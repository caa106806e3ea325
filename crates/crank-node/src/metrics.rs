//! The metrics that a node exports to Prometheus.

mod mesh;
mod slots;
mod stated_rate;

use std::fmt;
use std::time::Duration;

use crank_caller::AheadEvent;
use crank_mesh::Handle;
use crank_protocol::RequestRate;
use crank_protocol::call::Refusal;
use parking_lot::Mutex;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{
    DescriptorEncoder, EncodeLabelSet, EncodeLabelValue, EncodeMetric, LabelValueEncoder, text,
};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use tokio::sync::watch;

use crate::admission::AdmissionController;
use crate::quota::RateLimiter;
use crate::quota::accounts::AccountCollector;
use crate::rollout::{RolloutCollector, Rollouts};
use crate::source::RefusedConfig;
use crate::watchdog::{LongestPause, PauseCollector};

/// The outcome of a request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// A response was started.
    Answered,
    /// The request was not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// The request ran, but its response is lost.
    Ran,
}

impl EncodeLabelValue for RequestOutcome {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> fmt::Result {
        let value = match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        };
        EncodeLabelValue::encode(&value, encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: RequestOutcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AheadLabels {
    event: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    refusal: &'static str,
}

/// The lowest bound of the latency histogram; each further bound doubles the one before.
const MIN_BUCKET_SECONDS: f64 = 0.005;
const BUCKET_COUNT: u16 = 11;

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(MIN_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<OutcomeLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    requests_ahead: Family<AheadLabels, Counter>,
    durations: Family<OutcomeLabels, Histogram>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics with all counters at zero.
    ///
    /// ```
    /// use crank_node::metrics::{RequestOutcome, Metrics};
    /// let metrics = Metrics::new();
    /// metrics.count_request(RequestOutcome::NotRun);
    /// assert!(metrics.encode().contains("crank_requests_total{outcome=\"not-run\"} 1"));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("crank");
        let requests = Family::<OutcomeLabels, Counter>::default();
        registry.register(
            "requests",
            "Callers' requests by what they were told",
            requests.clone(),
        );
        let refusals = Family::<RefusalLabels, Counter>::default();
        let help = "Callers' requests that got no answer of a backend server, by why";
        registry.register("refusals", help, refusals.clone());
        let requests_ahead = Family::<AheadLabels, Counter>::default();
        let help = "Requests sent ahead on their connection whose calls started before their turn";
        registry.register("requests_ahead", help, requests_ahead.clone());
        let durations = Family::<OutcomeLabels, Histogram>::new_with_constructor(latency_histogram);
        let help = "From a request's arrival to the start of its answer";
        registry.register_with_unit("request", help, Unit::Seconds, durations.clone());
        Self {
            registry: Mutex::new(registry),
            requests,
            refusals,
            requests_ahead,
            durations,
        }
    }

    /// Counts a finished request by its outcome.
    ///
    /// ```
    /// # use crank_node::metrics::{RequestOutcome, Metrics};
    /// Metrics::new().count_request(RequestOutcome::Answered);
    /// ```
    pub fn count_request(&self, outcome: RequestOutcome) {
        self.requests
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request that got no response, by refusal.
    ///
    /// ```
    /// # use crank_node::metrics::Metrics;
    /// # use crank_protocol::call::Refusal;
    /// Metrics::new().count_refusal(&Refusal::NoServer);
    /// ```
    pub fn count_refusal(&self, refusal: &Refusal) {
        let refusal = refusal.name();
        self.refusals
            .get_or_create(&RefusalLabels { refusal })
            .inc();
    }

    /// Counts what became of a request that was sent ahead on its connection.
    ///
    /// ```
    /// # use crank_node::metrics::Metrics;
    /// let metrics = Metrics::new();
    /// metrics.count_ahead(crank_caller::AheadEvent::Started);
    /// assert!(metrics.encode().contains("crank_requests_ahead_total{event=\"started\"} 1"));
    /// ```
    pub fn count_ahead(&self, event: AheadEvent) {
        let event = match event {
            AheadEvent::Started => "started",
            AheadEvent::TakenOver => "taken-over",
            AheadEvent::Cancelled => "cancelled",
        };
        self.requests_ahead
            .get_or_create(&AheadLabels { event })
            .inc();
    }

    /// Records the time from a request's arrival to the start of its response.
    ///
    /// ```
    /// # use crank_node::metrics::{RequestOutcome, Metrics};
    /// let duration = std::time::Duration::from_millis(12);
    /// Metrics::new().observe_duration(RequestOutcome::Answered, duration);
    /// ```
    pub fn observe_duration(&self, outcome: RequestOutcome, duration: Duration) {
        let labels = OutcomeLabels { outcome };
        self.durations
            .get_or_create(&labels)
            .observe(duration.as_secs_f64());
    }

    /// Registers the metrics of the mesh.
    ///
    /// ```
    /// # use crank_node::metrics::Metrics;
    /// fn add(metrics: &Metrics, mesh: &crank_mesh::Handle) {
    ///     metrics.add_mesh(mesh.clone());
    /// }
    /// ```
    pub fn add_mesh(&self, mesh: Handle) {
        self.registry
            .lock()
            .register_collector(Box::new(mesh::MeshCollector(mesh)));
    }

    /// Registers the metrics of configurations that the node cannot use.
    ///
    /// ```
    /// use crank_node::{metrics::Metrics, source::RefusedConfig};
    /// let metrics = Metrics::new();
    /// metrics.add_refused_config(RefusedConfig::default());
    /// assert!(metrics.encode().contains("crank_config_refusals_total 0"));
    /// ```
    pub fn add_refused_config(&self, refused: RefusedConfig) {
        self.registry
            .lock()
            .register_collector(Box::new(RefusedConfigCollector(refused)));
    }

    /// Registers the slot time of the backend server beside the node.
    ///
    /// ```
    /// use crank_engine::limit::Capacity;
    /// use crank_node::{admission::AdmissionController, clock::Clock, metrics::Metrics};
    /// let metrics = Metrics::new();
    /// let capacity = Capacity { slots: 0, queue: 0 };
    /// metrics.add_slot_time(AdmissionController::new(Clock::new(), capacity));
    /// assert!(metrics.encode().contains("crank_queued_seconds_total 0"));
    /// ```
    pub fn add_slot_time(&self, admission: AdmissionController) {
        let collector = Box::new(slots::SlotCollector(admission));
        self.registry.lock().register_collector(collector);
    }

    /// Registers the limit that the backend server beside the node states; it appears while there is
    /// one.
    ///
    /// ```
    /// use crank_node::metrics::Metrics;
    /// use crank_protocol::RequestRate;
    /// let (_sender, rate) = tokio::sync::watch::channel(Some(RequestRate(17_300)));
    /// let metrics = Metrics::new();
    /// metrics.add_stated_rate(rate);
    /// assert!(metrics.encode().contains("crank_server_rate_limit 17.3"));
    /// ```
    pub fn add_stated_rate(&self, rate: watch::Receiver<Option<RequestRate>>) {
        let collector = Box::new(stated_rate::StatedRateCollector(rate));
        self.registry.lock().register_collector(collector);
    }

    /// Registers the metrics of roll-outs, which appear with the first order.
    ///
    /// ```
    /// use crank_node::{clock::Clock, metrics::Metrics, rollout::Rollouts};
    /// let metrics = Metrics::new();
    /// metrics.add_rollouts(Rollouts::new(Clock::new(), None));
    /// assert!(!metrics.encode().contains("crank_rollout"));
    /// ```
    pub fn add_rollouts(&self, rollouts: Rollouts) {
        self.registry
            .lock()
            .register_collector(Box::new(RolloutCollector(rollouts)));
    }

    /// Registers the counts of client accounts.
    ///
    /// ```
    /// use crank_node::{clock::Clock, metrics::Metrics, quota::RateLimiter};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let metrics = Metrics::new();
    /// metrics.add_accounts(RateLimiter::new(Clock::new()));
    /// assert!(!metrics.encode().contains("crank_account_requests"));
    /// ```
    pub fn add_accounts(&self, limiter: RateLimiter) {
        let collector = Box::new(AccountCollector(limiter));
        self.registry.lock().register_collector(collector);
    }

    /// Registers the longest pause of the runtime.
    ///
    /// ```
    /// use crank_node::{metrics::Metrics, watchdog::LongestPause};
    /// let metrics = Metrics::new();
    /// metrics.add_longest_pause(LongestPause::default());
    /// assert!(metrics.encode().contains("crank_longest_pause_seconds"));
    /// ```
    pub fn add_longest_pause(&self, pause: LongestPause) {
        self.registry
            .lock()
            .register_collector(Box::new(PauseCollector(pause)));
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// ```
    /// # use crank_node::metrics::Metrics;
    /// assert!(Metrics::new().encode().ends_with("# EOF\n"));
    /// ```
    #[must_use]
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        // Writing to a string never fails.
        let _ = text::encode(&mut encoded, &self.registry.lock());
        encoded
    }
}

#[derive(Debug)]
struct RefusedConfigCollector(RefusedConfig);

impl Collector for RefusedConfigCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let help = "Configurations of the store that this node could not use";
        encode_counter(&mut encoder, "config_refusals", help, self.0.refusals())?;
        let Some(fault) = self.0.fault() else {
            return Ok(());
        };
        let help = "1 while the newest configuration of the store cannot be used";
        let metric_type = MetricType::Gauge;
        let mut family = encoder.encode_descriptor("config_refused", help, None, metric_type)?;
        let labels = [
            ("document", &*fault.document),
            ("path", &*fault.path),
            ("detail", &*fault.detail),
        ];
        ConstGauge::new(1_u64).encode(family.encode_family(&labels)?)
    }
}

fn encode_gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> fmt::Result {
    let gauge = ConstGauge::new(value);
    gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)
}

fn encode_seconds(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: Duration,
) -> fmt::Result {
    let gauge = ConstGauge::new(value.as_secs_f64());
    let unit = Some(&Unit::Seconds);
    gauge.encode(encoder.encode_descriptor(name, help, unit, gauge.metric_type())?)
}

fn encode_counter(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> fmt::Result {
    let counter = ConstCounter::new(value);
    counter.encode(encoder.encode_descriptor(name, help, None, counter.metric_type())?)
}
