#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The programs under test are those that the build of
# deploy/system.toml has put into target/.
set -eu
cd "$(dirname "$0")/standin2"
GOWORK=off go build -o bin/standin2 .
