//! A stand-in for a backend server: slots, cold start, drain, faults and a ledger of runs.

mod announcer;
mod error;
mod ledger;
mod options;
mod server;
mod state;
mod work;

pub use error::Error;
pub use ledger::{Ledger, Totals};
pub use options::Options;
pub use server::run;
pub use state::Control;
