#!/usr/bin/env bash
# Plays a case for its run.sh: play.sh CASE FOLDER. The exit code is 1 if the rule was broken, 0 if
# it held and 2 if the case could not run. With TROUBLE=0 nothing is disrupted.
set -uo pipefail
cd "$(dirname "$0")/.."
for program in target/ebonypulley target/review-standin; do
	[ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh"; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
# The stand-in ends the processes that it started; if it is ended itself, the kernel does.
timeout --signal=KILL 118 target/review-standin -program target/ebonypulley -record "$2/record.txt" -trouble="$trouble" "$1"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
