//! Carries out the decisions about client accounts' rate limits: passes messages between entries and
//! homes, and counts what was admitted.

pub(crate) mod accounts;
mod changes;
mod status;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crank_engine::Moment;
use crank_engine::quota::{
    EntryLimiter, Fleet, Home, LimitTable, MIN_REPORT_INTERVAL, RecentCounter, account_hash,
};
use crank_mesh::{Handle, ReceivedMessage};
use crank_protocol::Name;
use crank_protocol::call::Refusal;
use crank_protocol::config::{ClientAccount, Snapshot, Version};
use crank_protocol::quota::{AccountHash, Message, Shard};
use crank_protocol::wire::{PeerMessage, Topic};
use parking_lot::Mutex;
use tokio::sync::{Notify, broadcast, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use self::changes::{TakenBack, log_changes};
use crate::clock::Clock;

/// How often it is looked whether reports are due.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often counters without news are dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// The most accounts that are counted by name; the others are counted together.
const MAX_COUNTED_ACCOUNTS: usize = 100;

/// The requests of one client account at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AccountCounts {
    /// Requests that were let in.
    pub admitted: u64,
    /// Requests refused because the account had used up its rate limit.
    pub over_rate: u64,
}

/// Limits the requests of client accounts at this node; clones share their state.
#[derive(Clone)]
pub struct RateLimiter {
    clock: Clock,
    state: Arc<Mutex<State>>,
    urgent: Arc<Notify>,
}

struct State {
    limiter: EntryLimiter,
    version: Option<Version>,
    clients: BTreeMap<Name, ClientAccount>,
    counts: BTreeMap<Name, AccountCounts>,
    recent: BTreeMap<Name, RecentCounter>,
    others: AccountCounts,
    taken_back: TakenBack,
}

impl State {
    fn counts(&mut self, account: &Name) -> &mut AccountCounts {
        let has_room = self.counts.len() < MAX_COUNTED_ACCOUNTS;
        if has_room || self.counts.contains_key(account) {
            return self.counts.entry(account.clone()).or_default();
        }
        &mut self.others
    }

    fn count_recent(&mut self, now: Moment, account: &Name, is_admitted: bool) {
        if self.counts.contains_key(account) {
            let recent = self.recent.entry(account.clone()).or_default();
            recent.add(now, is_admitted);
        }
    }
}

/// The right to send one request of an account. Dropping it gives the token back, unless the
/// request was sent and may have run.
pub struct Token {
    limiter: RateLimiter,
    account: AccountHash,
    is_spent: AtomicBool,
}

impl Token {
    /// Records that the request is sent to a target.
    pub(crate) fn spend(&self) {
        self.is_spent.store(true, Ordering::Relaxed);
    }

    /// Records that the request has certainly not run.
    pub(crate) fn return_unused(&self) {
        self.is_spent.store(false, Ordering::Relaxed);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.is_spent.load(Ordering::Relaxed) {
            self.limiter.state.lock().limiter.give_back(self.account);
        }
    }
}

impl RateLimiter {
    /// Creates a limiter without limits.
    ///
    /// ```
    /// use crank_node::{clock::Clock, quota::RateLimiter};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// let limiter = RateLimiter::new(Clock::new());
    /// let account = crank_protocol::Name::new("mill-7").unwrap();
    /// assert!(limiter.admit(&account).is_ok());
    /// ```
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let state = State {
            limiter: EntryLimiter::new(rand::random()),
            version: None,
            clients: BTreeMap::new(),
            counts: BTreeMap::new(),
            recent: BTreeMap::new(),
            taken_back: TakenBack::default(),
            others: AccountCounts::default(),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
            urgent: Arc::default(),
        }
    }

    /// Admits a request of an account.
    ///
    /// # Errors
    /// Returns [`Refusal::OverRate`] if the account has used up its rate limit.
    ///
    /// ```
    /// # use crank_node::quota::RateLimiter;
    /// # use crank_protocol::Name;
    /// fn is_admitted(limiter: &RateLimiter, account: &Name) -> bool {
    ///     limiter.admit(account).is_ok()
    /// }
    /// ```
    pub fn admit(&self, account: &Name) -> Result<Token, Refusal> {
        let hash = account_hash(account);
        let now = self.clock.now();
        let mut state = self.state.lock();
        let admitted = state.limiter.admit(now, hash);
        let is_urgent = state.limiter.is_urgent();
        let counts = state.counts(account);
        match admitted {
            Ok(()) => counts.admitted += 1,
            Err(_) => counts.over_rate += 1,
        }
        state.count_recent(now, account, admitted.is_ok());
        drop(state);
        if is_urgent {
            self.urgent.notify_one();
        }
        admitted.map_err(|retry_after| Refusal::OverRate { retry_after })?;
        Ok(Token {
            limiter: self.clone(),
            account: hash,
            is_spent: AtomicBool::new(false),
        })
    }

    /// Applies the limits of a configuration, unless they are older than those in force.
    pub(crate) fn apply(&self, snapshot: &Snapshot) {
        let version = snapshot.stamp.version;
        let mut state = self.state.lock();
        if state.version.is_some_and(|known| known >= version) {
            return;
        }
        let clients = &snapshot.config.clients;
        let has_accounts = !clients.is_empty() || !state.clients.is_empty();
        if has_accounts {
            log_changes(&state.clients, clients, version);
            let limits = LimitTable::new(version, clients);
            state.limiter.set_limits(limits);
            let State {
                taken_back,
                clients: before,
                ..
            } = &mut *state;
            taken_back.update(before, clients);
            state.clients.clone_from(clients);
        }
        state.version = Some(version);
    }

    /// Returns the counts by account, and those of all other accounts together.
    ///
    /// ```
    /// # use crank_node::{clock::Clock, quota::RateLimiter};
    /// # let _runtime = tokio::runtime::Runtime::new().unwrap();
    /// assert!(RateLimiter::new(Clock::new()).counts().0.is_empty());
    /// ```
    #[must_use]
    pub fn counts(&self) -> (BTreeMap<Name, AccountCounts>, AccountCounts) {
        let state = self.state.lock();
        (state.counts.clone(), state.others)
    }

    /// Exchanges messages with the homes and entries on other nodes, until the mesh ends.
    ///
    /// ```
    /// # use crank_node::quota::RateLimiter;
    /// # use crank_mesh::Handle;
    /// fn start(limiter: RateLimiter, mesh: Handle) {
    ///     tokio::spawn(limiter.run(mesh));
    /// }
    /// ```
    pub async fn run(self, mesh: Handle) {
        let mut exchange = Exchange {
            messages: mesh.messages(),
            config: mesh.config(),
            view: mesh.view(),
            limits: LimitTable::default(),
            fleet: Fleet::default(),
            home: Home::default(),
            limiter: self,
            mesh,
        };
        let mut reports = interval(REPORT_CHECK_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut forgets = interval(FORGET_INTERVAL);
        forgets.set_missed_tick_behavior(MissedTickBehavior::Delay);
        exchange.take_config();
        exchange.take_view();
        let urgent = exchange.limiter.urgent.clone();
        let mut last_urgent = Instant::now();
        loop {
            let has_limits = !exchange.limits.is_empty();
            let is_open = tokio::select! {
                changed = exchange.config.changed() => {
                    exchange.take_config();
                    changed.is_ok()
                }
                changed = exchange.view.changed(), if has_limits => {
                    exchange.take_view();
                    changed.is_ok()
                }
                received = exchange.messages.recv() => exchange.receive(received).await,
                _ = reports.tick(), if has_limits => exchange.report().await,
                () = urgent.notified(), if has_limits && has_paused(last_urgent) => {
                    last_urgent = Instant::now();
                    exchange.report().await
                }
                _ = forgets.tick(), if has_limits => {
                    exchange.home.forget_idle(exchange.limiter.clock.now());
                    true
                }
            };
            if !is_open {
                return;
            }
        }
    }
}

/// Returns whether an urgent report may follow the last one.
fn has_paused(last_urgent: Instant) -> bool {
    last_urgent.elapsed() >= Duration::from(MIN_REPORT_INTERVAL)
}

/// The state of the task that exchanges messages.
struct Exchange {
    limiter: RateLimiter,
    mesh: Handle,
    messages: broadcast::Receiver<ReceivedMessage>,
    config: watch::Receiver<Option<Arc<Snapshot>>>,
    view: watch::Receiver<Arc<crank_mesh::View>>,
    limits: LimitTable,
    fleet: Fleet,
    home: Home,
}

impl Exchange {
    fn take_config(&mut self) {
        let Some(snapshot) = self.config.borrow_and_update().clone() else {
            return;
        };
        self.limiter.apply(&snapshot);
        let had_limits = !self.limits.is_empty();
        self.limits = LimitTable::new(snapshot.stamp.version, &snapshot.config.clients);
        if !had_limits {
            self.take_view();
        }
    }

    fn take_view(&mut self) {
        let view = self.view.borrow_and_update().clone();
        self.fleet.update(self.limiter.clock.now(), view.members());
    }

    /// Sends the reports that are due. Returns false once the mesh has ended.
    async fn report(&mut self) -> bool {
        let now = self.limiter.clock.now();
        let reports = self.limiter.state.lock().limiter.reports(now, &self.fleet);
        for (home, report) in reports {
            if !self.send(home, &Message::Report(report)).await {
                return false;
            }
        }
        true
    }

    /// Handles a message. Returns false once the mesh has ended.
    async fn receive(
        &mut self,
        received: Result<ReceivedMessage, broadcast::error::RecvError>,
    ) -> bool {
        let ReceivedMessage { from, message } = match received {
            Ok(received) => received,
            Err(broadcast::error::RecvError::Lagged(lost)) => {
                log::warn!(lines = lost; "messages of other nodes lost: this node is too busy");
                return true;
            }
            Err(broadcast::error::RecvError::Closed) => return false,
        };
        if message.topic != Topic::Quota {
            return true;
        }
        match ciborium::from_reader(message.payload.as_slice()) {
            Ok(Message::Report(report)) => self.answer(from, report).await,
            Ok(Message::Grants(grants)) => {
                self.limiter.state.lock().limiter.receive(&from, grants);
                true
            }
            Err(error) => {
                log::warn!(peer:% = from, error:% = error; "message about rate limits not read");
                true
            }
        }
    }

    async fn answer(&mut self, from: Name, report: crank_protocol::quota::Report) -> bool {
        let now = self.limiter.clock.now();
        let known_nodes = self.fleet.known_nodes(now);
        let shard = report.shard;
        let answer = self
            .home
            .receive(now, &from, &report, known_nodes, &self.limits);
        let Some(answer) = answer else {
            return true;
        };
        if !self.send(from, &Message::Grants(answer.grants)).await {
            return false;
        }
        !answer.tells_others || self.tell_others(shard).await
    }

    async fn tell_others(&mut self, shard: Shard) -> bool {
        let now = self.limiter.clock.now();
        let known_nodes = self.fleet.known_nodes(now);
        let told = self.home.tell_others(now, shard, known_nodes, &self.limits);
        for (to, grants) in told {
            if !self.send(to, &Message::Grants(grants)).await {
                return false;
            }
        }
        true
    }

    async fn send(&self, to: Name, message: &Message) -> bool {
        let mut payload = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut payload) {
            log::error!(peer:% = to, error:% = error; "message about rate limits not written");
            return true;
        }
        let message = PeerMessage {
            topic: Topic::Quota,
            payload: payload.into(),
        };
        match self.mesh.send_message(to.clone(), message).await {
            Ok(()) => true,
            Err(crank_mesh::Error::Stopped) => false,
            Err(error) => {
                log::error!(peer:% = to, error:% = error; "message about rate limits not sent");
                true
            }
        }
    }
}
