//! The search: every state that can be reached, breadth first.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

use crate::Invariant;

/// A step to another state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step<S> {
    /// What happens.
    pub label: String,
    /// The state after it.
    pub next: S,
}

/// The shortest way to a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The invariant that is broken there; absent where the goal cannot be reached any more.
    pub broken: Option<Invariant>,
    /// What happens on the way.
    pub steps: Vec<String>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:2}. {step}", number + 1)?;
        }
        match self.broken {
            Some(invariant) => write!(f, "=> {invariant}"),
            None => write!(f, "=> the goal cannot be reached any more"),
        }
    }
}

/// Counts the states that can be reached.
///
/// ```
/// use crank_model::explore::{count, Step};
/// let steps = |number: &u8| {
///     let next = (number + 1) % 5;
///     vec![Step { label: "add".to_owned(), next }]
/// };
/// assert_eq!(count(&0, steps), 5);
/// ```
pub fn count<S: Clone + Eq + Hash>(start: &S, steps: impl Fn(&S) -> Vec<Step<S>>) -> usize {
    bfs_reach(start.clone(), |state| nexts(&steps, state)).count()
}

/// The shortest way to a state that breaks an invariant, if there is one.
///
/// ```
/// use crank_model::{Invariant, explore::{broken, Step}};
/// let steps = |number: &u8| vec![Step { label: "add".to_owned(), next: number + 1 }];
/// let trace = broken(&0, steps, |number| (*number == 3).then_some(Invariant::MovedBack));
/// assert_eq!(trace.unwrap().steps.len(), 3);
/// ```
pub fn broken<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Step<S>>,
    invariant: impl Fn(&S) -> Option<Invariant>,
) -> Option<Trace> {
    let is_broken = |state: &S| invariant(state).is_some();
    let way = bfs(start, |state| nexts(&steps, state), is_broken)?;
    let broken = way.last().and_then(&invariant);
    let steps = labels(&way, &steps);
    Some(Trace { broken, steps })
}

/// The shortest way to a state from which no goal can be reached, if there is one.
///
/// Where there is none, fair delivery leads every run to a goal.
///
/// ```
/// use crank_model::explore::{stuck, Step};
/// let steps = |number: &u8| match number {
///     0 => vec![1, 2].into_iter().map(|next| Step { label: next.to_string(), next }).collect(),
///     _ => Vec::new(),
/// };
/// assert_eq!(stuck(&0, steps, |number| *number == 1).unwrap().steps, ["2"]);
/// ```
pub fn stuck<S: Clone + Eq + Hash>(
    start: &S,
    steps: impl Fn(&S) -> Vec<Step<S>>,
    goal: impl Fn(&S) -> bool,
) -> Option<Trace> {
    let states: Vec<S> = bfs_reach(start.clone(), |state| nexts(&steps, state)).collect();
    let numbers: HashMap<&S, usize> = states.iter().zip(0..).collect();
    let mut before: Vec<Vec<usize>> = vec![Vec::new(); states.len()];
    for (number, state) in states.iter().enumerate() {
        for next in nexts(&steps, state) {
            before[numbers[&next]].push(number);
        }
    }
    let mut reaches: Vec<bool> = states.iter().map(&goal).collect();
    let mut open: Vec<usize> = (0..states.len())
        .filter(|number| reaches[*number])
        .collect();
    while let Some(number) = open.pop() {
        for earlier in &before[number] {
            if !reaches[*earlier] {
                reaches[*earlier] = true;
                open.push(*earlier);
            }
        }
    }
    let is_stuck = |state: &S| !reaches[numbers[state]];
    let way = bfs(start, |state| nexts(&steps, state), is_stuck)?;
    let steps = labels(&way, &steps);
    let broken = None;
    Some(Trace { broken, steps })
}

fn nexts<S>(steps: impl Fn(&S) -> Vec<Step<S>>, state: &S) -> Vec<S> {
    steps(state).into_iter().map(|step| step.next).collect()
}

fn labels<S: Eq>(way: &[S], steps: impl Fn(&S) -> Vec<Step<S>>) -> Vec<String> {
    let mut labels = Vec::new();
    for pair in way.windows(2) {
        let step = steps(&pair[0])
            .into_iter()
            .find(|step| step.next == pair[1]);
        labels.extend(step.map(|step| step.label));
    }
    labels
}
