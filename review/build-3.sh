#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review3.
set -eu
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review3 .
