#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt names are left out of the verdict, and run by
# themselves afterwards, so that each run says whether they still fail.
#
# A line of KNOWN-RED.txt: the test's name, its cause, its issue, separated by " | ".
set -eu -o pipefail
cd "$(dirname "$0")/.."

names=""
if [ -s KNOWN-RED.txt ]; then
  names=$(cut -d'|' -f1 KNOWN-RED.txt | tr -d ' ' | paste -sd'|')
fi
if [ -z "$names" ]; then
  exec go test -count=1 ./...
fi
go test -count=1 -skip "^($names)\$" ./...
echo "known to fail, and passed over:"
cat KNOWN-RED.txt
go test -count=1 -run "^($names)\$" ./... 2>&1 | grep -E '^(--- FAIL|FAIL|ok .*[0-9]s$|panic)' | grep -v 'no tests to run' || true
