//! Rate limits over all nodes: two entries, the home of an account, and one that replaces it.
//!
//! Tokens don't return here: the search is over one moment of an account at its limit. Reports and
//! grants may be lost, late, reordered or repeated; an entry may turn to the other home at any time,
//! as if the first had died or were cut off, while the other entry stays.

use crate::Invariant;
use crate::explore::Step;

const ENTRIES: usize = 2;
const HOMES: usize = 2;
const REPORTS_PER_ENTRY: usize = 3;
const BURST: u8 = 3;
/// The requests that an entry may admit before the home has answered for them.
const MAX_UNANSWERED: u8 = 1;

/// What keeps the entries to the limit; a search takes out one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A home ignores a report that is not newer than the last one of its entry.
    NewerReportCounts,
    /// A home that has just begun has no tokens: another may have granted them.
    BeginsEmpty,
    /// An entry admits little ahead of the home's answers.
    UnansweredIsBounded,
    /// An entry ignores grants that answer an older report than those it holds.
    NewerGrantsHold,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Quota {
    without: Option<Guard>,
}

/// A report: to which home it went, and the requests admitted since the entry turned there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Report {
    home: usize,
    admitted: u8,
    /// Whether an answer is on its way that lets the entry admit more, and one that doesn't.
    answers: [bool; 2],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Entry {
    home: usize,
    admitted: u8,
    answered: u8,
    is_open: bool,
    /// The number of the report that the grants in force answer.
    granted: Option<usize>,
    reports: [Option<Report>; REPORTS_PER_ENTRY],
}

impl Entry {
    fn sent(&self) -> usize {
        self.reports.iter().flatten().count()
    }
}

/// What a home knows of an entry: the number of its last report, and what that said.
type Heard = Option<(usize, u8)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Home {
    tokens: i8,
    heard: [Heard; ENTRIES],
}

/// Everything that the entries, the homes and the network remember.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    entries: [Entry; ENTRIES],
    homes: [Home; HOMES],
    admitted: u8,
    changes: u8,
}

impl Quota {
    /// The specification, whole or without one guard.
    ///
    /// ```
    /// use crank_model::quota::Quota;
    /// let spec = Quota::new(None);
    /// assert!(!spec.steps(&spec.start()).is_empty());
    /// ```
    #[must_use]
    pub fn new(without: Option<Guard>) -> Self {
        Self { without }
    }

    /// The first home has all tokens, and has told the entries that the account is below its limit.
    ///
    /// ```
    /// # use crank_model::quota::Quota;
    /// let spec = Quota::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn start(&self) -> State {
        let entry = Entry {
            is_open: true,
            ..Entry::default()
        };
        let full = Home {
            tokens: BURST as i8,
            ..Home::default()
        };
        let replacement = match self.has(Guard::BeginsEmpty) {
            true => Home::default(),
            false => full,
        };
        State {
            entries: [entry; ENTRIES],
            homes: [full, replacement],
            admitted: 0,
            changes: 0,
        }
    }

    /// The invariant that a state breaks: no more is admitted than the tokens, and what each entry
    /// admits ahead of each home.
    ///
    /// ```
    /// # use crank_model::quota::Quota;
    /// # let spec = Quota::new(None);
    /// assert_eq!(spec.broken(&spec.start()), None);
    /// ```
    #[must_use]
    pub fn broken(&self, state: &State) -> Option<Invariant> {
        // A home leaves entries open only while it has a token, which one of them may be about to
        // use: it is among those that are admitted ahead.
        let ahead = MAX_UNANSWERED * (ENTRIES as u8 + state.changes);
        (state.admitted > BURST - 1 + ahead).then_some(Invariant::OverLimit)
    }

    /// Everything that may happen next.
    ///
    /// ```
    /// # use crank_model::quota::Quota;
    /// # let spec = Quota::new(None);
    /// assert_eq!(spec.steps(&spec.start())[0].label, "entry 1 admits a request");
    /// ```
    #[must_use]
    pub fn steps(&self, state: &State) -> Vec<Step<State>> {
        let mut steps = Vec::new();
        if self.broken(state).is_some() {
            return steps;
        }
        for entry in 0..ENTRIES {
            self.entry_steps(state, entry, &mut steps);
            for number in 0..state.entries[entry].sent() {
                self.arrival_steps(state, entry, number, &mut steps);
            }
        }
        steps
    }

    /// An entry admits a request, reports, or turns to the other home.
    fn entry_steps(&self, state: &State, number: usize, steps: &mut Vec<Step<State>>) {
        let entry = state.entries[number];
        let label = number + 1;
        let is_ahead = entry.admitted - entry.answered >= MAX_UNANSWERED;
        if entry.is_open && !(is_ahead && self.has(Guard::UnansweredIsBounded)) {
            let mut next = state.clone();
            next.entries[number].admitted += 1;
            next.admitted += 1;
            push(steps, format!("entry {label} admits a request"), next);
        }
        let sent = entry.sent();
        if sent < REPORTS_PER_ENTRY && entry.admitted > entry.answered {
            let mut next = state.clone();
            next.entries[number].reports[sent] = Some(Report {
                home: entry.home,
                admitted: entry.admitted,
                answers: [false; 2],
            });
            let (report, home) = (sent + 1, entry.home + 1);
            let label = format!("entry {label} sends report {report} to home {home}");
            push(steps, label, next);
        }
        if entry.home + 1 < HOMES {
            let mut next = state.clone();
            let turned = &mut next.entries[number];
            turned.home += 1;
            (turned.admitted, turned.answered) = (0, 0);
            next.changes += 1;
            push(steps, format!("entry {label} turns to home 2"), next);
        }
    }

    /// A report or its answer arrives, be it late or repeated.
    fn arrival_steps(
        &self,
        state: &State,
        entry: usize,
        number: usize,
        steps: &mut Vec<Step<State>>,
    ) {
        let Some(report) = state.entries[entry].reports[number] else {
            return;
        };
        let (name, shown) = (entry + 1, number + 1);
        if let Some(next) = self.receive(state, entry, number, report) {
            push(
                steps,
                format!("report {shown} of entry {name} arrives"),
                next,
            );
        }
        for (is_open, is_sent) in [true, false].into_iter().zip(report.answers) {
            if is_sent && let Some(next) = self.take(state, entry, number, is_open) {
                let said = if is_open { "open" } else { "limited" };
                let label = format!("entry {name} hears: {said}, in answer to report {shown}");
                push(steps, label, next);
            }
        }
    }

    /// The home counts a report and answers.
    fn receive(&self, state: &State, entry: usize, number: usize, report: Report) -> Option<State> {
        let mut next = state.clone();
        let home = &mut next.homes[report.home];
        let heard = home.heard[entry];
        let is_old = heard.is_some_and(|(last, _)| last >= number);
        if is_old && self.has(Guard::NewerReportCounts) {
            return None;
        }
        let before = heard.map_or(0, |(_, admitted)| admitted);
        home.tokens -= report.admitted as i8 - before as i8;
        home.heard[entry] = Some((number, report.admitted));
        let answer = usize::from(home.tokens < 1);
        let sent = next.entries[entry].reports[number].as_mut()?;
        sent.answers[answer] = true;
        Some(next)
    }

    /// The entry takes grants over.
    fn take(&self, state: &State, entry: usize, number: usize, is_open: bool) -> Option<State> {
        let mut next = state.clone();
        let taker = &mut next.entries[entry];
        let report = taker.reports[number]?;
        let is_old = taker.granted.is_some_and(|granted| granted > number);
        if report.home != taker.home || (is_old && self.has(Guard::NewerGrantsHold)) {
            return None;
        }
        taker.granted = Some(number);
        taker.is_open = is_open;
        taker.answered = taker.answered.max(report.admitted);
        Some(next)
    }

    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }
}

fn push(steps: &mut Vec<Step<State>>, label: String, next: State) {
    steps.push(Step { label, next });
}
