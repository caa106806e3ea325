//! Callers: the HTTP edge that takes requests and gives whole answers.
