#!/bin/sh
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/platform"
go build -o ../../target/review-standins .
