//! Admission at a target's node: slots, queue, deadline and drain, before anything runs.

use crank_protocol::Millis;
use crank_protocol::call::{Load, Refusal};
use crank_protocol::member::Stage;
use serde::{Deserialize, Serialize};

use crate::Moment;
use crate::drain::{Drain, Progress};
use crate::limit::{Limit, Size, Step, Ticket};

/// Admits requests to the backend server beside a node.
///
/// A request that got [`Step::Refuse`] has not run and will not: only [`Step::Run`] lets it reach
/// the backend server.
///
/// ```
/// use crank_engine::Moment;
/// use crank_engine::admit::Admission;
/// use crank_engine::limit::{Size, Step, Ticket};
/// use crank_protocol::{Millis, call::Refusal, member::Stage};
/// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
/// let ticket = |id| Ticket { id, importance: Default::default(), deadline: Moment(9_000), depth: 0, run: None };
/// let refused = Step::Refuse { id: 1, refusal: Refusal::Leaving };
/// assert_eq!(admission.enter(Moment(0), ticket(1)), [refused]);
/// admission.announce(Moment(0), Stage::Ready, Millis(100));
/// assert_eq!(admission.enter(Moment(0), ticket(2)), [Step::Run { id: 2 }]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admission {
    limit: Limit,
    drain: Drain,
}

impl Admission {
    /// Admission to a backend server that has not announced itself yet.
    ///
    /// ```
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::Size;
    /// assert_eq!(Admission::new(Size { slots: 6, queue: 1 }).load().slots, 6);
    /// ```
    #[must_use]
    pub fn new(size: Size) -> Self {
        Self {
            limit: Limit::new(size),
            drain: Drain::new(),
        }
    }

    /// A request asks to run.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::{Size, Ticket};
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// let ticket = Ticket { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, run: None };
    /// assert_eq!(admission.enter(Moment(0), ticket).len(), 1);
    /// ```
    pub fn enter(&mut self, now: Moment, ticket: Ticket) -> Vec<Step> {
        match self.drain.admit(now, ticket.depth) {
            Ok(()) => self.limit.enter(now, ticket),
            Err(refusal) => turn_away(ticket, refusal),
        }
    }

    /// A request asks to run now, or not at all here.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::{Size, Ticket};
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// let ticket = Ticket { id: 1, importance: Default::default(), deadline: Moment(9_000), depth: 0, run: None };
    /// assert_eq!(admission.enter_free(Moment(0), ticket).len(), 1);
    /// ```
    pub fn enter_free(&mut self, now: Moment, ticket: Ticket) -> Vec<Step> {
        match self.drain.admit(now, ticket.depth) {
            Ok(()) => self.limit.enter_free(now, ticket),
            Err(refusal) => turn_away(ticket, refusal),
        }
    }

    /// A request has ended, or nobody waits for it any more.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::Size;
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// assert_eq!(admission.leave(Moment(0), 1), []);
    /// ```
    pub fn leave(&mut self, now: Moment, id: u64) -> Vec<Step> {
        self.limit.leave(now, id)
    }

    /// Takes another size.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::Size;
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// admission.resize(Moment(0), Size { slots: 9, queue: 1 });
    /// assert_eq!(admission.load().slots, 9);
    /// ```
    pub fn resize(&mut self, now: Moment, size: Size) -> Vec<Step> {
        self.limit.resize(now, size)
    }

    /// The backend server announces its stage of life; one that takes no new work gets none of
    /// what waits either.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::Size;
    /// # use crank_protocol::{Millis, member::Stage};
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// assert_eq!(admission.announce(Moment(0), Stage::Ready, Millis(100)), []);
    /// ```
    pub fn announce(&mut self, now: Moment, stage: Stage, grace: Millis) -> Vec<Step> {
        self.drain.announce(now, stage, grace);
        if self.drain.server_takes_work() {
            Vec::new()
        } else {
            self.limit.clear(&Refusal::Leaving)
        }
    }

    /// The node begins to leave: new work is refused as [`Drain::admit`] says, and what runs or
    /// waits is finished.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::drain::Progress;
    /// # use crank_engine::limit::Size;
    /// # use crank_protocol::Millis;
    /// let mut admission = Admission::new(Size { slots: 1, queue: 1 });
    /// admission.drain(Moment(0), Millis(100));
    /// assert_eq!(admission.progress(Moment(100_000)), Progress::Drained);
    /// ```
    pub fn drain(&mut self, now: Moment, grace: Millis) {
        self.drain.leave(now, grace);
    }

    /// How far the leaving has come.
    ///
    /// ```
    /// # use crank_engine::Moment;
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::drain::Progress;
    /// # use crank_engine::limit::Size;
    /// let admission = Admission::new(Size { slots: 1, queue: 1 });
    /// assert_eq!(admission.progress(Moment(0)), Progress::Serving);
    /// ```
    #[must_use]
    pub fn progress(&self, now: Moment) -> Progress {
        let in_flight = self.limit.running() + self.limit.waiting();
        self.drain.progress(now, in_flight)
    }

    /// How busy the backend server is.
    ///
    /// ```
    /// # use crank_engine::admit::Admission;
    /// # use crank_engine::limit::Size;
    /// assert_eq!(Admission::new(Size { slots: 1, queue: 1 }).load().running, 0);
    /// ```
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.limit.running(),
            waiting: self.limit.waiting(),
            slots: self.limit.size().slots,
        }
    }

    /// The refusal of what cannot wait, with when to come back.
    ///
    /// ```
    /// # use crank_engine::{admit::Admission, limit::Size};
    /// # use crank_protocol::call::Refusal;
    /// let admission = Admission::new(Size { slots: 1, queue: 0 });
    /// assert!(matches!(admission.overloaded(), Refusal::Overloaded { .. }));
    /// ```
    #[must_use]
    pub fn overloaded(&self) -> Refusal {
        self.limit.overloaded()
    }
}

fn turn_away(ticket: Ticket, refusal: Refusal) -> Vec<Step> {
    let id = ticket.id;
    vec![Step::Refuse { id, refusal }]
}
