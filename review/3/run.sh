#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in tidepost-control tidepost-gateway; do
	[ -x "target/$program" ] || { echo "target/$program is missing: build by deploy/system.toml first" >&2; exit 2; }
done
[ -x review/bin/standin ] || review/build.sh || exit 2
exec review/bin/standin departure "review/3/record.txt"
