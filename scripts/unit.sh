#!/usr/bin/env bash
# Runs the tests of the modules named, under the race detector: the first alone,
# since many of its tests run at the same time already, and then the others side by
# side. Each uses loopback addresses of its own. Tests listed in KNOWN-RED.txt ("red:
# TestName ..." at the start of a line) are passed over and printed.
set -u
cd "$(dirname "$0")/.." || exit 1
names=""
if [ -s KNOWN-RED.txt ]; then
	echo "passed over, known red:"
	cat KNOWN-RED.txt
	names=$(sed -n 's/^red: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
# With many threads the race detector itself crashes in these tests ("ThreadSanitizer: CHECK
# failed: tsan_rtl.cpp:346"). They run by themselves: on one processor, where the detector does not
# crash, and on arm64, where it does, without it.
apart_module=kcw-fleet
apart="TestOverloadOfTheCoreEndsWithItsCause"
apart_flags=(-race -cpu 1)
case $(uname -m) in
aarch64 | arm64) apart_flags=() ;;
esac
# Tests of clients that send much, which check the memory of processes. They run one at a time, when
# all others have ended.
alone_modules="kcw-proof platform"
alone="TestClientsOf.*|TestOrdinaryCrowdIsKept"
skipped="${names}${names:+|}${apart}|${alone}"
skip=(-skip "^(${skipped})\$")
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
status=0
test_module() {
	(cd "$1" && go test -race -count=1 -timeout 20m "${skip[@]}" ./...) || return 1
	if [ "$1" = "$apart_module" ]; then
		(cd "$1" && go test "${apart_flags[@]}" -count=1 -timeout 20m -v -run "^(${apart})\$" ./kcwrouter) || return 1
	fi
}
test_module "$1" || status=1
shift
pids=()
for module in "$@"; do
	test_module "$module" >"$out/$module" 2>&1 &
	pids+=($!)
done
i=0
for module in "$@"; do
	wait "${pids[$i]}" || status=1
	cat "$out/$module"
	i=$((i + 1))
done
for module in $alone_modules; do
	(cd "$module" && go test -race -count=1 -timeout 20m -v -run "^(${alone})\$" ${names:+-skip "^(${names})\$"} .) || status=1
done
exit $status
