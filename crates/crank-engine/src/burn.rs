//! Windowed counts of good and bad answers, and burn rates.
