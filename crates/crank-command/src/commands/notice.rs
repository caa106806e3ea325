//! `crankctl notice`.

use crank_engine::notice::NoticeProgress;
use crank_operator::Client;
use crank_protocol::Name;
use gumdrop::Options;

use crate::{Error, Report, words};

pub(super) const ABOUT: &str = "\
Asks a node what the end of the notice period still waits for. Exits 0 only if every proxy is known
to hold the final version and every backend server is known to have handed over; silence is neither.
A node that died stays silent until the mesh forgets it: name it with --gone once you have seen for
yourself that its instance is gone.";

#[derive(Debug, Options)]
pub(crate) struct Notice {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "any node's operators' address", meta = "IP:PORT")]
    node: String,
    #[options(
        help = "a silent node whose instance you know to be gone; once for each",
        meta = "NAME",
        no_short
    )]
    gone: Vec<Name>,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

impl Notice {
    pub(super) async fn run(self) -> Result<Report, Error> {
        let notice = Client::new(&self.node)?.notice().await?;
        let text = if self.json {
            serde_json::to_string_pretty(&notice)? + "\n"
        } else {
            format_notice(&notice, &self.gone)
        };
        Ok(Report::new(text).with_answer(notice.is_complete_without(&self.gone)))
    }
}

fn format_notice(notice: &NoticeProgress, gone: &[Name]) -> String {
    let ends = match (notice.ends, notice.seconds_left) {
        (Some(ends), Some(left)) => format!("{} ({})", words::time(ends), words::time_left(left)),
        _ => "no notice is given: set [account] notice_ends".to_owned(),
    };
    let final_version = match &notice.final_version {
        Some(stamp) => words::stamp(stamp),
        None => "not known: the store is down, or nothing was accepted".to_owned(),
    };
    let servers = notice.not_handed_over.len() + notice.handed_over as usize;
    let mut text = format!(
        "account   {}\nends      {ends}\nfinal     {final_version}\nproxies   {} of {} on the final version\n\
         servers   {} of {servers} handed over\n",
        notice.account, notice.on_final_version, notice.proxies, notice.handed_over,
    );
    text += &name_line("behind", &notice.behind);
    text += &name_line("silent", &notice.silent);
    text += &name_line("gone", gone);
    for server in &notice.not_handed_over {
        let stage = words::stage(server.stage);
        let (node, service, in_flight) = (&server.node, &server.service, server.in_flight);
        text += &format!("waits for {service} beside {node}: {stage}, {in_flight} in flight\n");
    }
    text + if notice.is_complete_without(gone) {
        "complete\n"
    } else {
        "not complete\n"
    }
}

fn name_line(label: &str, names: &[Name]) -> String {
    if names.is_empty() {
        return String::new();
    }
    let names: Vec<&str> = names.iter().map(Name::as_str).collect();
    format!("{label:10}{}\n", names.join(", "))
}
