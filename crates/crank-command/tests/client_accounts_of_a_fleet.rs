//! Tests what operators see of the client accounts of a fleet.

#![allow(clippy::unwrap_used, dead_code)]

mod support;

use crank_operator::listener;
use crank_platform_client::Memory;
use crank_protocol::Millis;
use crank_protocol::config::{RateLimit, Version};
use crank_protocol::status::{AccountStatus, NodeAccounts, RecentRequests};
use support::{Desktop, Session, name};
use tokio::net::TcpListener;

fn account(text: &str, keys: (u32, u32), per_second: u32, recent: (u64, u64)) -> AccountStatus {
    let limit = RateLimit {
        per_second,
        burst: 2 * per_second,
    };
    AccountStatus {
        account: name(text),
        keys: keys.0,
        keys_taken_back: keys.1,
        limit: (per_second > 0).then_some(limit),
        home: (per_second > 0).then(|| name("n3")),
        recent: Some(RecentRequests {
            admitted: recent.0,
            over_rate: recent.1,
        }),
    }
}

fn accounts(node: &str, version: u64, accounts: Vec<AccountStatus>) -> NodeAccounts {
    NodeAccounts {
        node: name(node),
        version: Some(Version(version)),
        window: Millis(10_000),
        accounts,
    }
}

#[tokio::test]
async fn client_accounts_of_a_fleet() {
    let mut session = Session::new();
    session.note("Nothing is in force yet.");
    session.ask("accounts").await;

    session.note("A second node is a version behind: it takes a key that the first one refuses.");
    let mill = account("mill-7", (1, 1), 20, (65, 240));
    let taken = account("gone-9", (0, 1), 0, (0, 0));
    let press = account("press-2", (2, 0), 0, (1_234, 0));
    let mut shop = account("shop-1", (1, 0), 5, (0, 0));
    shop.recent = None;
    session.desktop.accounts = accounts("n1", 7, vec![taken, mill, press, shop]);
    let old = account("mill-7", (2, 0), 40, (130, 5));
    let gone = account("gone-9", (1, 0), 5, (7, 0));
    let mut other = Desktop::new(&Memory::new());
    other.accounts = accounts("n2", 6, vec![old, gone]);
    let bound = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = bound.local_addr().unwrap();
    session.desktop.other = Some((address, other.accounts.clone()));
    let serving = tokio::spawn(listener::serve(bound, other, std::future::pending()));
    assert_eq!(session.ask("accounts").await, 0);
    session.ask("accounts --json").await;

    session.note("The second node no longer answers.");
    serving.abort();
    assert_eq!(session.ask("accounts").await, 1);
    insta::assert_snapshot!(session.transcript());
}
