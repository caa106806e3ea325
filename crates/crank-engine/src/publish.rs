//! Publishing: from a folder's listing to an accepted version.
