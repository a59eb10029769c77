#!/bin/sh
# Builds the stand-ins of the script in review/11 into target/review3.
set -eu
cd "$(dirname "$0")/standin3/platform"
mkdir -p ../../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../../target/review3 .
