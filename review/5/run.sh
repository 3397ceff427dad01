#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not be played.
cd "$(dirname "$0")" || exit 2
../../target/review/stand silent-worker
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
