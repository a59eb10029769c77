#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption, SEED sets the seed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3 ] && [ -x target/coltsfootcleat ] || { echo "build first: deploy/system.toml and review/build-3.sh"; exit 2; }
exec target/review3 lost-feed-answer target/coltsfootcleat review/12/record.txt
