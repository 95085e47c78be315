#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. It exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
# environment it leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/platform ] && [ -x target/review/standin ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
	disruption=without
else
	disruption=with
fi
target/review/standin taint "$folder" "$disruption"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
