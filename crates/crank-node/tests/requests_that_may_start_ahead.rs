//! Which requests the entry lets start before their turn on their connection.

mod common;

use common::{FakeTransport, entry};
use crank_caller::Gateway;
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
