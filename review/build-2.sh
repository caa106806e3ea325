#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
  program=$(basename "$source" .rs)
  [ "$program" = world ] && continue
  rustc --edition 2021 -O -o "target/review-2/$program" "$source"
done
