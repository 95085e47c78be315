#!/usr/bin/env bash
# Runs the tests of the modules named, under the race detector, side by side:
# each uses loopback addresses of its own. Tests listed in KNOWN-RED.txt ("red:
# TestName ..." at the start of a line) are passed over and printed.
set -u
cd "$(dirname "$0")/.." || exit 1
skip=()
if [ -s KNOWN-RED.txt ]; then
	echo "passed over, known red:"
	cat KNOWN-RED.txt
	names=$(sed -n 's/^red: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
	[ -n "$names" ] && skip=(-skip "^(${names})\$")
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
pids=()
for module in "$@"; do
	(cd "$module" && go test -race -count=1 -timeout 20m "${skip[@]}" ./... >"$out/$module" 2>&1) &
	pids+=($!)
done
status=0
i=0
for module in "$@"; do
	wait "${pids[$i]}" || status=1
	cat "$out/$module"
	i=$((i + 1))
done
exit $status
