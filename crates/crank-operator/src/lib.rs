//! Operators: the folder in the store, status, history and notice.
