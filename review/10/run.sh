#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/limits
node=$root/target/release/crank-hosted
if [ ! -x "$program" ] || [ ! -x "$node" ]; then
  echo "not built: $program or $node"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
# Ends what is left of the processes that were started, if this script is ended before its time.
end() {
  kill "$running"
  if [ -f "$temporary/pids" ]; then
    while read -r pid; do
      [ "$(readlink "/proc/$pid/exe")" = "$node" ] && kill -KILL "$pid"
    done < "$temporary/pids"
  fi
  rm -rf "$temporary"
} 2> /dev/null
running=
trap end EXIT
trap 'exit 2' TERM INT
timeout 110 "$program" "$root" "$here" "$temporary" &
running=$!
wait "$running"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
