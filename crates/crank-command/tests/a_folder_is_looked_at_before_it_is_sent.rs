//! Tests what `check` warns of and what `diff` shows, before a folder is pushed.

#![allow(clippy::unwrap_used)]

mod support;

use support::Session;

const ACCOUNT: &str = "[account]\nname = sutkent\n";
const RECIPES: &str = "[service recipes]\nslots = 6\n\
    [route recipes]\npath = /recipes\nmethods = GET\nservice = recipes\n";

#[tokio::test]
async fn a_folder_is_looked_at_before_it_is_sent() {
    let mut session = Session::new();
    session.put("anna/10-account.ini", ACCOUNT);
    session.put("anna/20-recipes.ini", RECIPES);
    session.note("Nothing was accepted yet: everything is new.");
    session.crankctl("diff @anna --settings @store.ini").await;
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;

    session.note("The same folder differs in nothing.");
    session.crankctl("diff @anna --settings @store.ini").await;

    session.note("An edit contradicts itself: it is valid, and warned of.");
    session.put(
        "anna/30-night.ini",
        "[route recipes]\nlatency = 3s\ntimeout = 2s\n[service spare]\nslots = 1\n",
    );
    assert_eq!(session.crankctl("check @anna").await, 0);
    assert_eq!(session.crankctl("check @anna --strict").await, 1);
    session.crankctl("check @anna --json").await;
    session.crankctl("diff @anna --settings @store.ini").await;
    session
        .crankctl("diff @anna --settings @store.ini --json")
        .await;

    session.note("A folder with faults is not compared.");
    session.put("anna/40-panels.ini", "[service panels]\nslots = many\n");
    session.crankctl("check @anna --json").await;
    session.crankctl("diff @anna --settings @store.ini").await;

    session.note("Nothing of this was sent.");
    session.delete("anna/40-panels.ini");
    session.ask("history").await;
    insta::assert_snapshot!(session.transcript());
}
