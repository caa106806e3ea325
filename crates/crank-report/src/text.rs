//! The report as a table for a terminal.

use crank_engine::burn::{Alarm, BurnRate, ServiceEvaluation, Severity};
use crank_protocol::config::Objective;
use crank_protocol::{Millis, Name};

use crate::Report;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60_000;
const MILLIS_PER_HOUR: u64 = 3_600_000;
const MILLIS_PER_DAY: u64 = 86_400_000;

/// Renders the report as a table, followed by the nodes that did not answer.
///
/// ```
/// let report = crank_report::Report::new(&[], Vec::new(), None);
/// assert!(crank_report::table(&report).contains("not complete"));
/// ```
#[must_use]
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    for service in &report.services {
        text += &service_lines(service);
    }
    if report.services.is_empty() {
        text += "no service is configured on the nodes that were heard\n\n";
    }
    text + &heard(report)
}

fn service_lines(service: &ServiceEvaluation) -> String {
    let mut text = format!("{}  {}\n", service.service, objective(service.objective));
    text += &format!(
        "  {:>6}  {:>10}  {:>10}  {:>8}\n",
        "WINDOW", "GOOD", "BAD", "BURN"
    );
    for rate in &service.rates {
        let (window, tally) = (span(rate.window), rate.tally);
        text += &format!(
            "  {window:>6}  {:>10}  {:>10}  {:>8}\n",
            tally.good,
            tally.bad,
            burn(rate)
        );
    }
    for alarm in &service.alarms {
        text += &format!("  {}\n", self::alarm(alarm));
    }
    text + "\n"
}

pub(crate) fn objective(objective: Option<Objective>) -> String {
    match objective {
        Some(objective) => {
            let (whole, tenth) = (objective.good.0 / 10, objective.good.0 % 10);
            format!("{whole}.{tenth}% within {}", objective.latency)
        }
        None => "no objective: set objective_good and objective_latency".to_owned(),
    }
}

fn burn(rate: &BurnRate) -> String {
    match rate.burn {
        Some(burn) => format!("{burn:.2}"),
        None => "-".to_owned(),
    }
}

pub(crate) fn alarm(alarm: &Alarm) -> String {
    let severity = match alarm.severity {
        Severity::Page => "PAGE",
        Severity::Ticket => "TICKET",
    };
    let (long, short) = (span(alarm.long), span(alarm.short));
    format!(
        "{severity}: burns at {} or more over {long} and {short}",
        alarm.rate
    )
}

pub(crate) fn span(span: Millis) -> String {
    let millis = span.0;
    if millis >= MILLIS_PER_DAY {
        format!("{}d", millis / MILLIS_PER_DAY)
    } else if millis >= MILLIS_PER_HOUR {
        format!("{}h", millis / MILLIS_PER_HOUR)
    } else if millis >= MILLIS_PER_MINUTE {
        format!("{}m", millis / MILLIS_PER_MINUTE)
    } else {
        format!("{}s", millis / MILLIS_PER_SECOND)
    }
}

pub(crate) fn heard(report: &Report) -> String {
    let mut text = format!("heard      {} nodes\n", report.heard.len());
    if let Some(counted) = report.counted {
        let counted = span(counted);
        text += &format!("counted    {counted} on every node heard; longer windows lack a part\n");
    }
    for unreached in &report.unreached {
        text += &format!("unreached  {}: {}\n", unreached.address, unreached.problem);
    }
    match &report.unheard {
        Some(names) if names.is_empty() => {}
        Some(names) => {
            let names: Vec<&str> = names.iter().map(Name::as_str).collect();
            text += &format!("unheard    {}\n", names.join(", "));
        }
        None => text += "unheard    not known: no node told who there is\n",
    }
    text + if report.complete {
        "complete\n"
    } else {
        "not complete: what was not heard is counted neither as good nor as bad\n"
    }
}
