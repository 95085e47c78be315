#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review, without a network.
set -eu
cd "$(dirname "$0")/kit-3"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/kit3 .
