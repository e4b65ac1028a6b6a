#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. All processes are in one group, which is ended with the script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins-2 ] && [ -x target/release/bramleyshelf ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m
timeout 118 target/review/standins-2 "$1" "$2" &
group=$!
set +m
end_all() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap end_all EXIT
trap 'exit 2' TERM INT HUP
wait "$group"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
