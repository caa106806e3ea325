//! Tests a whole session: add, edit, refusal, removal, concurrent push and notice.

#![allow(clippy::unwrap_used)]

mod support;

use crank_protocol::member::Stage;
use support::Session;

const RECIPES: &str = "[service recipes]\nslots = 6\ntimeout = 2s\n\
    [route recipes]\npath = /recipes\nmethods = GET\nservice = recipes\nidempotent = yes\n";

async fn add_and_edit(session: &mut Session) {
    session.note("Anna adds two files; an editor's leaving is passed over.");
    session.put("anna/10-account.ini", "[account]\nname = sutkent\n");
    session.put("anna/20-recipes.ini", RECIPES);
    session.put("anna/20-recipes.ini~", "half a thought\n");
    session.crankctl("check @anna").await;
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;
    session.ask("status").await;

    session.note("She edits one of them.");
    session.put("anna/30-night.ini", "[service recipes]\ntimeout = 3s\n");
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;
    session.ask("history").await;
}

async fn refuse(session: &mut Session) {
    session.note("A bad folder is refused before it is pushed.");
    session.put(
        "anna/40-panels.ini",
        "[service panels]\nslots = many\ntimeout = 5\n[route p]\n",
    );
    session.crankctl("check @anna").await;
    session.crankctl("push @anna --settings @store.ini").await;
    session.delete("anna/40-panels.ini");

    session.note("One that comes past the check is refused by the publisher, and version 2 stays.");
    session
        .crankctl("rm 10-account.ini --settings @store.ini")
        .await;
    session.publish().await;
    session.ask("status").await;
}

async fn remove_and_race(session: &mut Session) {
    session.note("Anna is told that the store changed. She pulls, and adds the file again.");
    session.put("anna/50-batches.ini", "[service batches]\nslots = 6\n");
    session.crankctl("push @anna --settings @store.ini").await;
    session.crankctl("pull @anna --settings @store.ini").await;
    session.put("anna/10-account.ini", "[account]\nname = sutkent\n");
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;

    session.note("Berik and Anna edit at once: the second is told, and nothing of his is lost.");
    session.crankctl("pull @berik --settings @store.ini").await;
    session.put("anna/50-batches.ini", "[service batches]\nslots = 7\n");
    session.put("berik/50-batches.ini", "[service batches]\nslots = 8\n");
    session.crankctl("push @anna --settings @store.ini").await;
    session.crankctl("push @berik --settings @store.ini").await;
    session.crankctl("pull @berik --settings @store.ini").await;

    session.note("A removed file takes its keys with it.");
    session.delete("anna/30-night.ini");
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;
    session.ask("history").await;
}

async fn give_notice(session: &mut Session) {
    session.note("Notice is given. A silent node and work in flight hold it up.");
    let account = "[account]\nname = sutkent\nnotice_ends = 2126-12-08T23:59:59+05:00\n";
    session.put("anna/10-account.ini", account);
    session.crankctl("push @anna --settings @store.ini").await;
    session.publish().await;
    session.desktop.silent = true;
    session.desktop.stage = Stage::Draining;
    session.ask("notice").await;
    session.desktop.in_flight = 0;
    session.ask("notice --gone n2").await;
    session.note("All have handed over.");
    session.desktop.silent = false;
    session.ask("notice").await;
    session.note("The store goes down: the final version is not known.");
    session.desktop.platform.set_down(true);
    session.ask("notice").await;
    session.ask("status").await;
    session.ask("history").await;
    session.crankctl("push @anna --settings @store.ini").await;
}

#[tokio::test]
async fn life_of_a_folder() {
    let mut session = Session::new();
    add_and_edit(&mut session).await;
    refuse(&mut session).await;
    remove_and_race(&mut session).await;
    give_notice(&mut session).await;
    insta::assert_snapshot!(session.transcript());
}
