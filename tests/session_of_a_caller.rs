//! A whole session of a caller, as the caller sees it.

#![allow(clippy::unwrap_used)]

mod common;

use std::fmt::Write;

use common::{Mesh, PATIENCE, header};
use crank_load::fleet::{Layout, Signal, wait};
use reqwest::{Method, Response};

const SHOWN: [&str; 3] = ["crank-outcome", "crank-refusal", "retry-after"];

/// What the caller sent and was told, without ids and dates.
struct Session {
    mesh: Mesh,
    text: String,
}

impl Session {
    fn heading(&mut self, heading: &str) {
        writeln!(self.text, "# {heading}").unwrap();
    }

    async fn send(&mut self, node: usize, method: Method, path: &str, key: &str, body: &str) {
        writeln!(self.text, "{method} {path} at node{node}").unwrap();
        let url = format!("{}{path}", self.mesh.fleet.nodes[node].callers());
        let mut request = self.mesh.client.request(method, url).body(body.to_owned());
        if !key.is_empty() {
            writeln!(self.text, "  idempotency-key: {key}").unwrap();
            request = request.header("idempotency-key", key);
        }
        if !body.is_empty() {
            writeln!(self.text, "  {body}").unwrap();
        }
        let response = request.send().await.unwrap();
        self.told(response).await;
    }

    async fn told(&mut self, response: Response) {
        writeln!(self.text, "-> {}", response.status()).unwrap();
        for name in SHOWN {
            let value = header(&response, name);
            if !value.is_empty() {
                writeln!(self.text, "  {name}: {value}").unwrap();
            }
        }
        let body = response.text().await.unwrap();
        writeln!(self.text, "  {body}\n").unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn session_of_a_caller() {
    let layout = Layout::new("sutkent", 3, 1, 1, &common::SERVICES);
    let mesh = Mesh::with_layout(layout).await;
    let mut session = Session {
        mesh,
        text: String::new(),
    };
    let (get, post) = (Method::GET, Method::POST);

    session.heading("A lookup, and a path that nobody serves");
    session
        .send(0, get.clone(), "/recipes/apricot", "", "")
        .await;
    session.send(1, get.clone(), "/nowhere", "", "").await;

    session.heading("A booking needs a key; with one it runs once, whoever is asked again");
    session
        .send(0, post.clone(), "/panels/bookings", "", "7 spoons")
        .await;
    session
        .send(0, post.clone(), "/panels/bookings", "booking-1", "7 spoons")
        .await;
    session
        .send(2, post.clone(), "/panels/bookings", "booking-1", "7 spoons")
        .await;
    session
        .send(2, post.clone(), "/panels/bookings", "booking-1", "8 spoons")
        .await;

    session.heading("A release order is refused while the store is down, and runs afterwards");
    session.mesh.platform(r#"{"down": true}"#).await;
    session
        .send(1, post.clone(), "/batches/release", "release-1", "apricot")
        .await;
    session.mesh.platform(r#"{"down": false}"#).await;
    session
        .send(1, post.clone(), "/batches/release", "release-1", "apricot")
        .await;
    session
        .send(0, post, "/batches/release", "release-1", "apricot")
        .await;
    let keys = session.mesh.keys().await;
    writeln!(session.text, "ledger: {keys:?}\n").unwrap();

    session.heading("The only server of the batches leaves");
    let leaving = session.mesh.fleet.layout.placements.iter();
    let leaving = leaving
        .clone()
        .position(|placement| &*placement.service == "batches")
        .unwrap();
    let backend = &mut session.mesh.fleet.nodes[leaving].backend;
    backend.signal(Signal::Terminate).unwrap();
    assert_eq!(backend.wait_for_exit(PATIENCE).await.unwrap(), Some(0));
    let mesh = &session.mesh;
    wait("the news of the leaving", PATIENCE, async || {
        let answer = mesh.get(0, "/lab/reads").await;
        answer.is_ok_and(|answer| header(&answer, "crank-refusal") == "no_server")
    })
    .await
    .unwrap();
    session.send(0, get, "/lab/reads", "", "").await;

    insta::assert_snapshot!(session.text);
}
