//! What the unfinished requests of all callers of a node may hold together.
//!
//! Answers callers out of control: many connections that send or read slowly, or not at all, and
//! hold memory or descriptors meanwhile.

/// What a process may use of its machine; `None` where it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MachineLimits {
    /// The memory of the process, in bytes.
    pub memory_bytes: Option<u64>,
    /// The number of descriptors that the process may have open.
    pub descriptors: Option<u32>,
}
