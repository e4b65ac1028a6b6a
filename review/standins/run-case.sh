#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. Everything runs in one process group, which is ended with the script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/bramleyshelf ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m
target/review/standins "$1" "$2" &
group=$!
set +m
finish() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' TERM INT HUP
wait "$group"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
