#!/usr/bin/env bash
# Builds the stand-ins of the review into target/. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review/standin .
