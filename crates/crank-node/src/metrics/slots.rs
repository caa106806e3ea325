//! The slot time of the backend server beside a node, as counters.

use std::fmt;
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Unit;

use crate::admission::AdmissionController;

#[derive(Debug)]
pub(super) struct SlotCollector(pub(super) AdmissionController);

impl Collector for SlotCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let time = self.0.slot_time();
        let help = "Time that slots of the backend server were free, summed over the slots";
        encode_micros(&mut encoder, "idle_slot", help, time.idle_micros)?;
        let help = "Time that requests waited for a slot, summed over the requests";
        encode_micros(&mut encoder, "queued", help, time.queued_micros)
    }
}

fn encode_micros(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    micros: u64,
) -> fmt::Result {
    let counter = ConstCounter::new(Duration::from_micros(micros).as_secs_f64());
    let unit = Some(&Unit::Seconds);
    counter.encode(encoder.encode_descriptor(name, help, unit, counter.metric_type())?)
}
