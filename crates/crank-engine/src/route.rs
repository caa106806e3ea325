//! From a path and method to a route.
