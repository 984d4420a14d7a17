#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/masticbay ] && [ -x target/review2-case ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review2-case -case vanished -record review/7/record.txt -trouble=$trouble
