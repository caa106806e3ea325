//! How long requests take on one backend server, compared with the others of its service.
//!
//! Load pattern: servers of one service that differ in speed by a factor of three, and share their
//! machines with other work, so that their speed also changes many times a second. Counted in
//! slots they appear equal: a slow server gets requests while faster ones have free slots, and
//! these requests miss their objective on a server that is not even full.
//!
//! The node beside the server learns the slowdown from the run times that entry nodes expect, which
//! are means over all targets, and from what the server itself states. It travels with the load
//! that each answer carries, so it costs no further messages.

use crank_protocol::{Millis, Permille};
use serde::{Deserialize, Serialize};

use crate::Moment;

/// The slowdown of a server that is as fast as others.
pub const USUAL: Permille = Permille(1_000);
/// The number of runs before a slowdown is told.
pub const MIN_RUNS: u32 = 24;

/// The weight of a new run once [`MIN_RUNS`] are known; before, all runs count equally.
const RUN_WEIGHT: f64 = 0.03;
/// A run that took longer than this many times the expected time counts as this many: a few runs
/// take far longer than others of their route on any server.
const MAX_RATIO: f64 = 4.0;
/// The bounds of what is told.
const MIN_SLOWDOWN: f64 = 0.2;
const MAX_SLOWDOWN: f64 = 10.0;
/// Differences up to this share of the usual run time are not told: run times vary as much by
/// chance.
const TOLERANCE: f64 = 0.15;
/// How long what a server states about the moment counts; until then its weight falls linearly.
const MAX_STATED_AGE: Millis = Millis(1_000);
const PERMILLE: f64 = 1_000.0;
const MICROS_PER_MILLI: u64 = 1_000;

/// One run of a request, as far as it says something about the server's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// How long the server took, in microseconds.
    pub micros: u64,
    /// The run time that the entry node expected, from all targets.
    pub expected: Option<Millis>,
    /// How long work takes on the server now, as a share of what is usual there, if it says so.
    pub stated: Option<Permille>,
}

/// What a node has learned about the speed of the backend server beside it.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::slowdown::{MIN_RUNS, Run, Slowdown};
/// use crank_protocol::{Millis, Permille};
/// let mut slowdown = Slowdown::default();
/// let run = Run { micros: 80_000, expected: Some(Millis(40)), stated: None };
/// for _ in 0..MIN_RUNS {
///     assert_eq!(slowdown.current(Moment(0)), None);
///     slowdown.record(Moment(0), run);
/// }
/// assert_eq!(slowdown.current(Moment(0)), Some(Permille(2_000)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    runs: u32,
    /// The mean of run time over expected run time, less what the server stated at the time.
    ratio: f64,
    stated: Option<Stated>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stated {
    at: Moment,
    slowdown: Permille,
}

impl Slowdown {
    /// Records a run that ended.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::slowdown::{Run, Slowdown};
    /// # use crank_protocol::Permille;
    /// let mut slowdown = Slowdown::default();
    /// let stated = Some(Permille(2_500));
    /// slowdown.record(Moment(0), Run { micros: 1, expected: None, stated });
    /// assert_eq!(slowdown.current(Moment(0)), stated);
    /// ```
    pub fn record(&mut self, now: Moment, run: Run) {
        if let Some(slowdown) = run.stated {
            self.stated = Some(Stated { at: now, slowdown });
        }
        let expected_micros = run.expected.map(|run| run.0 * MICROS_PER_MILLI);
        let Some(expected_micros) = expected_micros.filter(|micros| *micros > 0) else {
            return;
        };
        let stated = run.stated.map_or(1.0, share).max(MIN_SLOWDOWN);
        let ratio = (run.micros as f64 / expected_micros as f64).min(MAX_RATIO) / stated;
        self.runs = self.runs.saturating_add(1);
        let weight = RUN_WEIGHT.max(1.0 / f64::from(self.runs));
        self.ratio += (ratio - self.ratio) * weight;
    }

    /// Returns how long requests take now, as a share of what they take elsewhere; `None` while
    /// that is not known or does not differ from [`USUAL`].
    ///
    /// ```
    /// # use crank_engine::{Moment, slowdown::Slowdown};
    /// assert_eq!(Slowdown::default().current(Moment(0)), None);
    /// ```
    #[must_use]
    pub fn current(&self, now: Moment) -> Option<Permille> {
        let learned = if self.runs < MIN_RUNS {
            1.0
        } else {
            self.ratio
        };
        let slowdown = learned * self.stated_share(now);
        let differs = (slowdown - 1.0).abs() > TOLERANCE;
        let permille = slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN) * PERMILLE;
        differs.then(|| Permille(permille.round() as u32))
    }

    fn stated_share(&self, now: Moment) -> f64 {
        let Some(stated) = self.stated else {
            return 1.0;
        };
        let age = now.since(stated.at).0 as f64 / MAX_STATED_AGE.0 as f64;
        1.0 + (share(stated.slowdown) - 1.0) * (1.0 - age).max(0.0)
    }
}

fn share(permille: Permille) -> f64 {
    f64::from(permille.0) / PERMILLE
}
