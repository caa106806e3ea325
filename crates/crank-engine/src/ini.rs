//! INI documents with the line of each key.
