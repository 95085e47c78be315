#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/platform" ] || [ ! -x ../standin2/bin/standin2 ]; then
	echo "build the system (deploy/system.toml) and the stand-ins (review/build-2.sh) first"
	exit 2
fi
CASE_ROOT=$root CASE_RECORD=$PWD/record.txt exec ../standin2/bin/standin2 keys
