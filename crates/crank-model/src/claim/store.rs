//! The claim row, and the writes of it.

use super::{Claim, Guard, State};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    Claimed,
    Released,
    Recorded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Row {
    pub(super) nonce: u8,
    pub(super) stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Write {
    Claim { nonce: u8, over: Option<u8> },
    Settle { nonce: u8, stage: Stage },
}

impl Write {
    pub(super) fn what(self) -> &'static str {
        match self {
            Self::Claim { .. } => "claim",
            Self::Settle { .. } => "settlement",
        }
    }
}

impl Claim {
    /// Lets a write take effect, if its condition holds.
    pub(super) fn apply(&self, state: &mut State, write: Write) -> bool {
        let row = match write {
            Write::Claim { nonce, .. } => Row {
                nonce,
                stage: Stage::Claimed,
            },
            Write::Settle { nonce, stage } => Row { nonce, stage },
        };
        let holds = self.holds(state.row, write);
        if holds {
            state.row = Some(row);
        }
        holds
    }

    fn holds(&self, row: Option<Row>, write: Write) -> bool {
        match write {
            Write::Claim { over: None, .. } => row.is_none() || !self.has(Guard::PutIfAbsent),
            Write::Claim {
                over: Some(nonce), ..
            } => {
                let stage = Stage::Released;
                row == Some(Row { nonce, stage }) || !self.has(Guard::OverThatRelease)
            }
            Write::Settle { nonce, .. } => {
                let stage = Stage::Claimed;
                row == Some(Row { nonce, stage }) || !self.has(Guard::SettleOwnOnly)
            }
        }
    }
}
