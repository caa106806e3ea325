//! The mesh as metrics: the configuration in force, members, control bytes and errors.

use std::fmt;

use crank_mesh::{Direction, Handle, Reach, TrafficKind};
use crank_protocol::member::State;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;

use super::{encode_counter, encode_gauge, encode_seconds};

/// The metrics of the mesh.
pub(super) struct MeshCollector(pub(super) Handle);

impl fmt::Debug for MeshCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("MeshCollector").finish_non_exhaustive()
    }
}

impl Collector for MeshCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        self.encode_control_bytes(&mut encoder)?;
        self.encode_members(&mut encoder)?;
        let version = self
            .0
            .config()
            .borrow()
            .as_ref()
            .map_or(0, |snapshot| snapshot.stamp.version.0);
        encode_gauge(
            &mut encoder,
            "config_version",
            "The configuration version in force",
            version,
        )?;
        if let Some(age) = self.0.confirmation_age() {
            let help = "Time since it was confirmed that the store has no newer configuration";
            encode_seconds(&mut encoder, "config_confirmed", help, age)?;
        }
        let era = u64::from(*self.0.store_era().borrow());
        let help = "How often the store has come back from an older copy";
        encode_gauge(&mut encoder, "store_era", help, era)?;
        let ready = u64::from(*self.0.ready().borrow());
        encode_gauge(
            &mut encoder,
            "ready",
            "1 where this node takes requests",
            ready,
        )?;
        let errors = self.0.error_counters();
        let help = "Configurations with a known version and another digest";
        encode_counter(
            &mut encoder,
            "config_conflicts",
            help,
            errors.version_conflicts(),
        )?;
        let help = "Frames and datagrams that could not be read";
        encode_counter(
            &mut encoder,
            "malformed_frames",
            help,
            errors.malformed_messages(),
        )?;
        let help = "Times that another process answered to this node's name";
        encode_counter(&mut encoder, "name_contests", help, errors.name_conflicts())
    }
}

impl MeshCollector {
    fn encode_control_bytes(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let help = "Bytes to and from other nodes for control";
        let unit = Some(&Unit::Bytes);
        let mut family = encoder.encode_descriptor("control", help, unit, MetricType::Counter)?;
        for usage in self.0.traffic().byte_counts() {
            let labels = [
                ("kind", kind_label(usage.kind)),
                ("reach", reach_label(usage.reach)),
                ("direction", direction_label(usage.direction)),
            ];
            let metric = family.encode_family(&labels)?;
            ConstCounter::new(usage.bytes).encode(metric)?;
        }
        Ok(())
    }

    fn encode_members(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let help = "Known nodes by what is believed of them";
        let mut family = encoder.encode_descriptor("members", help, None, MetricType::Gauge)?;
        let view = self.0.view().borrow().clone();
        for (state, name) in [
            (State::Alive, "alive"),
            (State::Suspect, "suspect"),
            (State::Dead, "dead"),
            (State::Left, "left"),
        ] {
            let count = view
                .members()
                .filter(|member| member.state == state)
                .count();
            let labels = [("state", name)];
            let metric = family.encode_family(&labels)?;
            ConstGauge::new(count as u64).encode(metric)?;
        }
        Ok(())
    }
}

fn kind_label(kind: TrafficKind) -> &'static str {
    match kind {
        TrafficKind::Probe => "probe",
        TrafficKind::News => "news",
        TrafficKind::Members => "members",
        TrafficKind::Delta => "delta",
        TrafficKind::Snapshot => "snapshot",
        TrafficKind::Other => "other",
    }
}

fn reach_label(reach: Reach) -> &'static str {
    match reach {
        Reach::Near => "near",
        Reach::Far => "far",
    }
}

fn direction_label(direction: Direction) -> &'static str {
    match direction {
        Direction::Sent => "sent",
        Direction::Received => "received",
    }
}
