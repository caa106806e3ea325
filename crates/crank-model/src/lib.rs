//! A small specification of the core protocol, explored exhaustively.
//!
//! Three specifications share the engine's decision functions, so that they cannot drift from the
//! code: [`publish`] (an operator, two publishers, the store), [`spread`] (three proxies that
//! restart) and [`claim`] (three targets that claim one key). [`rollout`] (two deciders, the store)
//! stands apart: it states the order of reads and writes of `crank_node::rollout` itself; so does
//! [`quota`] (two entries, two homes) with the messages of `crank_engine::quota`. Each can take out
//! one of its guards; the search must then find the shortest way to a broken invariant.

pub mod claim;
pub mod explore;
pub mod publish;
pub mod quota;
pub mod rollout;
pub mod spread;

mod folder;
mod invariant;

pub use invariant::Invariant;
