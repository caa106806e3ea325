//! Which requests the entry lets start before their turn on their connection.

#![allow(clippy::unwrap_used)]

mod common;

use common::{FakeTransport, entry};
use crank_caller::Gateway;
use crank_node::Settings;
use crank_protocol::config::Method;

#[tokio::test]
async fn only_requests_of_idempotent_routes_may_start_ahead() {
    let entry = entry(FakeTransport::refusing(&[]));
    let may_start = |path| entry.may_start_ahead(Method::Get, "kitchen.example", path);
    assert!(may_start("/lookups"));
    assert!(may_start("/lookups/7"));
    assert!(!may_start("/orders"));
    assert!(!may_start("/tickets"));
    assert!(!may_start("/unknown"));
    assert!(!may_start("/lookups/../orders"));
}

fn settings(requests_ahead: &str) -> Result<usize, String> {
    let text = format!(
        "[account]\nname = sutkent\n[node]\nname = n1\nregion = almaty\ndata_centre = almaty-1\n\
         [listen]\ncallers = 127.0.0.1:0\nmesh = 127.0.0.1:0\nservers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\n{requests_ahead}[platform]\nobjects = http://127.0.0.1:1\n\
         table = http://127.0.0.1:1\nbucket = crank\ntable_name = crank\nregion = almaty\n"
    );
    let settings = Settings::parse("node.ini", text.as_bytes());
    settings
        .map(|settings| settings.listen.requests_ahead)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

#[test]
fn nothing_starts_ahead_unless_the_settings_say_so() {
    assert_eq!(settings(""), Ok(0));
    assert_eq!(settings("requests_ahead = 8\n"), Ok(8));
    let fault = settings("requests_ahead = 65\n").unwrap_err();
    assert!(
        fault.starts_with("node.ini:12: listen requests_ahead:"),
        "{fault}"
    );
}
