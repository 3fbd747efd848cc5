#!/bin/sh
# Plays the case: 1 the rule was broken, 0 it held, 2 it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cases2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/cases2 manifest review/5/record.txt
