//! The limit that the backend server beside a node states, as a gauge.

use std::fmt;

use crank_protocol::RequestRate;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::gauge::ConstGauge;
use tokio::sync::watch;

const THOUSANDTHS: f64 = 1_000.0;

#[derive(Debug)]
pub(super) struct StatedRateCollector(pub(super) watch::Receiver<Option<RequestRate>>);

impl Collector for StatedRateCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let Some(rate) = *self.0.borrow() else {
            return Ok(());
        };
        let help = "Requests a second that the backend server states as its limit";
        let gauge = ConstGauge::new(rate.0 as f64 / THOUSANDTHS);
        let metric_type = gauge.metric_type();
        gauge.encode(encoder.encode_descriptor("server_rate_limit", help, None, metric_type)?)
    }
}
