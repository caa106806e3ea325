//! The publisher on the in-memory platform, under races, pauses, lost answers and outages.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod hooked;

use std::time::Duration;

use crank_engine::Nonce;
use crank_engine::publish::head_update;
use crank_node::publisher::{Publisher, Settings, start, stop};
use crank_platform_client::{
    Condition, Etag, Memory, Platform, configs, folder, head, lease, verdict,
};
use crank_protocol::config::{Config, Snapshot, Version};
use crank_protocol::status::{HistoryEntry, Verdict};
use crank_protocol::{Millis, Name};
use futures::FutureExt;
use hooked::{HookedPlatform, ReadEvent};
use tokio::sync::{mpsc, watch};
use xtra::Address;

const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn account() -> Name {
    name("sutkent")
}

struct RunningPublisher<P> {
    publisher: Address<Publisher<P>>,
    _candidate: watch::Sender<bool>,
    snapshots: mpsc::Receiver<Snapshot>,
}

impl<P: Platform> RunningPublisher<P> {
    fn new(platform: &P, node: &str, settle: Millis) -> Self {
        let (candidate, is_candidate) = watch::channel(true);
        let (accepted, snapshots) = mpsc::channel(16);
        let settings = Settings {
            settle_time: settle,
            ..Settings::new(account(), name(node))
        };
        Self {
            publisher: start(platform.clone(), settings, is_candidate, accepted),
            _candidate: candidate,
            snapshots,
        }
    }

    async fn next(&mut self) -> Snapshot {
        let next = tokio::time::timeout(TIMEOUT, self.snapshots.recv());
        next.await.unwrap().unwrap()
    }
}

async fn put(platform: &impl Platform, file: &str, text: String, condition: Condition) -> Etag {
    let account = account();
    let written = folder::write(platform, &account, file, text.into(), condition);
    written.await.unwrap()
}

/// Writes two files that must be read together: `a.ini` and `b.ini` contain the same number.
async fn edit(platform: &impl Platform, slots: u32) {
    let a = format!("[account]\nname = sutkent\n[service a]\nslots = {slots}\n");
    let b = format!("[service b]\nslots = {slots}\n");
    for (file, text) in [("a.ini", a), ("b.ini", b)] {
        put(platform, file, text, Condition::Always).await;
    }
}

fn slots(config: &Config) -> (u32, u32) {
    (config.services["a"].slots, config.services["b"].slots)
}

async fn versions(platform: &impl Platform) -> Vec<u64> {
    let history = head::history(platform, &account(), 100).await.unwrap();
    history.iter().map(|entry| entry.stamp.version.0).collect()
}

async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.unwrap();
}

#[tokio::test]
async fn every_answer_lost_still_gives_one_version_an_edit() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    memory.lose_answers(u32::MAX);
    let mut running = RunningPublisher::new(&memory, "n1", Millis(0));
    assert_eq!(slots(&running.next().await.config), (1, 1));
    memory.lose_answers(0);
    edit(&memory, 2).await;
    assert_eq!(slots(&running.next().await.config), (2, 2));
    assert_eq!(versions(&memory).await, [2, 1]);
}

#[tokio::test]
async fn a_folder_edited_while_it_is_read_is_read_again() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let editor = memory.clone();
    let hooked = HookedPlatform::new(memory.clone(), move |event| {
        let editor = editor.clone();
        async move {
            if event == ReadEvent::Object("sutkent/folder/a.ini".into())
                && editor.counts().writes < 6
            {
                edit(&editor, 2).await;
            }
        }
        .boxed()
    });
    let mut running = RunningPublisher::new(&hooked, "n1", Millis(0));
    let first = running.next().await;
    assert_eq!(
        (slots(&first.config), first.stamp.version),
        ((2, 2), Version(1))
    );
}

#[tokio::test]
async fn a_publisher_paused_with_an_old_folder_cannot_put_it_over_a_newer_one() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let other = memory.clone();
    let hooked = HookedPlatform::new(memory.clone(), move |event| {
        let other = other.clone();
        async move {
            if event == ReadEvent::List(3) {
                edit(&other, 2).await;
                publish_as_another_node(&other).await;
            }
        }
        .boxed()
    });
    let mut running = RunningPublisher::new(&hooked, "n1", Millis(0));
    let first = running.next().await;
    assert_eq!(
        (slots(&first.config), first.stamp.version),
        ((2, 2), Version(1))
    );
    assert_eq!(versions(&memory).await, [1]);
}

async fn publish_as_another_node(platform: &impl Platform) {
    let mut files = Vec::new();
    for listed in folder::list(platform, &account()).await.unwrap() {
        let object = folder::read(platform, &account(), &listed.name)
            .await
            .unwrap();
        files.push(crank_engine::folder::File {
            name: listed.name,
            content: object.unwrap().content.to_vec(),
        });
    }
    let config = crank_engine::folder::merge(&files).unwrap().config;
    let digest = configs::write(platform, &account(), &config).await.unwrap();
    let seen = head::read(platform, &account()).await.unwrap();
    let step = head_update(seen.as_ref(), &digest, Nonce(2)).unwrap();
    let entry = HistoryEntry {
        stamp: step.to.stamp.clone(),
        at: time::OffsetDateTime::UNIX_EPOCH,
        publisher: name("n2"),
    };
    head::advance(platform, &account(), &step, &entry)
        .await
        .unwrap();
}

#[tokio::test]
async fn a_refused_folder_is_recorded_and_the_accepted_version_stays() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let mut running = RunningPublisher::new(&memory, "n1", Millis(0));
    assert_eq!(running.next().await.stamp.version, Version(1));
    let bad = "[route r]\npath = /r\nmethods = GET\nservice = none\n";
    let etag = put(&memory, "c.ini", bad.into(), Condition::Absent).await;
    wait_until(async || {
        let recorded = verdict::read(&memory, &account()).await.unwrap().unwrap();
        matches!(recorded.verdict, Verdict::Refused { faults, .. } if &*faults[0].file == "c.ini")
    })
    .await;
    assert_eq!(versions(&memory).await, [1]);
    folder::remove(&memory, &account(), "c.ini", etag)
        .await
        .unwrap();
    wait_until(async || {
        let recorded = verdict::read(&memory, &account()).await.unwrap().unwrap();
        matches!(recorded.verdict, Verdict::Accepted { .. })
    })
    .await;
    assert_eq!(versions(&memory).await, [1]);
}

#[tokio::test]
async fn after_an_outage_only_the_newest_folder_is_published() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let mut running = RunningPublisher::new(&memory, "n1", Millis(0));
    assert_eq!(running.next().await.stamp.version, Version(1));
    let before = memory.counts();
    memory.set_down(true);
    wait_until(async || memory.counts().reads > before.reads + 2).await;
    memory.set_down(false);
    for number in [2, 3, 4] {
        edit(&memory, number).await;
    }
    assert_eq!(slots(&running.next().await.config), (4, 4));
    assert_eq!(versions(&memory).await, [2, 1]);
}

#[tokio::test]
async fn the_lease_passes_on_when_its_holder_is_lost() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let mut first = RunningPublisher::new(&memory, "n1", Millis(0));
    assert_eq!(first.next().await.stamp.version, Version(1));
    let mut second = RunningPublisher::new(&memory, "n2", Millis(0));
    assert_eq!(second.next().await.stamp.version, Version(1));
    drop(first);
    edit(&memory, 2).await;
    assert_eq!(slots(&second.next().await.config), (2, 2));
    assert_eq!(versions(&memory).await, [2, 1]);
}

#[tokio::test]
async fn a_folder_is_not_refused_before_anything_was_put_into_it() {
    let memory = Memory::new();
    let mut running = RunningPublisher::new(&memory, "n1", Millis(0));
    wait_until(async || memory.counts().reads > 30).await;
    assert_eq!(verdict::read(&memory, &account()).await, Ok(None));
    edit(&memory, 1).await;
    assert_eq!(running.next().await.stamp.version, Version(1));
}

#[tokio::test]
async fn a_stopping_publisher_releases_its_lease() {
    let memory = Memory::new();
    edit(&memory, 1).await;
    let mut first = RunningPublisher::new(&memory, "n1", Millis(0));
    assert_eq!(first.next().await.stamp.version, Version(1));
    stop(first.publisher).await;
    let lease = lease::read(&memory, &account()).await.unwrap().unwrap();
    assert!(lease.released);
    let mut second = RunningPublisher::new(&memory, "n2", Millis(0));
    second.next().await;
    edit(&memory, 2).await;
    assert_eq!(slots(&second.next().await.config), (2, 2));
}
