//! The metrics of roll-outs: how far each has come, and what this node has seen of it.

use std::fmt;

use crank_protocol::rollout::{Evidence, Phase};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::gauge::ConstGauge;

use super::Rollouts;

/// Exports the roll-outs of a node.
#[derive(Debug)]
pub(crate) struct RolloutCollector(pub(crate) Rollouts);

impl Collector for RolloutCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let known = self.0.evidence();
        if known.is_empty() {
            return Ok(());
        }
        let help = "1 for the phase of the newest roll-out of a service";
        let gauge = MetricType::Gauge;
        let mut family = encoder.encode_descriptor("rollout", help, None, gauge)?;
        for evidence in &known {
            let labels = [
                ("service", evidence.service.as_str()),
                ("phase", phase_label(evidence.phase)),
            ];
            ConstGauge::new(1_u64).encode(family.encode_family(&labels)?)?;
        }
        let help = "Answers to this node's requests since the order, by release";
        let mut family = encoder.encode_descriptor("rollout_answers", help, None, gauge)?;
        for evidence in &known {
            for count in counts(evidence) {
                let labels = [
                    ("service", evidence.service.as_str()),
                    ("release", count.release),
                    ("result", count.result),
                ];
                ConstGauge::new(count.answers).encode(family.encode_family(&labels)?)?;
            }
        }
        Ok(())
    }
}

/// A number of answers and its labels.
struct Count {
    release: &'static str,
    result: &'static str,
    answers: u64,
}

fn counts(evidence: &Evidence) -> Vec<Count> {
    let mut counts = Vec::new();
    for (release, is_new) in [("old", false), ("new", true)] {
        let tallies = || {
            let of_release = evidence.tallies.iter();
            of_release.filter(move |tally| tally.subject.server.is_some() == is_new)
        };
        let answered = tallies().map(|tally| u64::from(tally.answered)).sum();
        let failed = tallies().map(|tally| u64::from(tally.failed)).sum();
        for (result, answers) in [("answered", answered), ("failed", failed)] {
            counts.push(Count {
                release,
                result,
                answers,
            });
        }
    }
    counts
}

fn phase_label(phase: Phase) -> &'static str {
    match phase {
        Phase::Trial => "trial",
        Phase::Held => "held",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled_back",
    }
}
