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
  TIDEPOST_SEED=$seed go test -count=1 -timeout 30m ./prove ./pkg/controllog -rapid.checks=60 2>&1 |
    grep -E '^prove|^--- FAIL|^panic|seed |^FAIL' || true
  [ "${PIPESTATUS[0]}" -eq 0 ] || { echo "soak: failed with seed $seed"; exit 1; }
  rounds=$((rounds + 1))
done
echo "soak: ok rounds=$rounds"
