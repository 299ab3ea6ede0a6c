#!/bin/sh
# Streams of a host that lost its power, taken up while the release of their service begins.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hickoryhall-platform ] && [ -x target/review-3/standins ] || exit 2
exec target/review-3/standins lost-host review/14
