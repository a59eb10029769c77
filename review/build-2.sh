#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/standin2/platform"
go build -o ../../../target/review-standins-2 .
