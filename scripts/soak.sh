#!/usr/bin/env bash
# Runs the proofs and the control log's histories with random seeds, and prints
# each seed. Use: scripts/soak.sh MINUTES
set -u
cd "$(dirname "$0")/.."
end=$(($(date +%s) + ${1:-10} * 60))
rounds=0
while [ "$(date +%s)" -lt "$end" ]; do
  seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
  echo "soak: seed $seed"
  if ! output=$(TIDEPOST_SEED=$seed go test -count=1 -v -timeout 30m ./prove ./pkg/controllog -rapid.checks=60 2>&1); then
    grep -E '^prove|FAIL|^panic|seed ' <<<"$output"
    echo "soak: failed with seed $seed"
    exit 1
  fi
  grep -E '^prove' <<<"$output"
  rounds=$((rounds + 1))
done
echo "soak: ok rounds=$rounds"
