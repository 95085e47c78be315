#!/usr/bin/env bash
# Plays case 13; claim.txt says what is shown. Exit codes: 1 broken, 0 held, 2 not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/review/kit3 ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
timeout -k 1 118 target/review/kit3 batches review/13/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
