#!/usr/bin/env bash
# Builds the stand-ins of the review, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standins/main.rs
