#!/usr/bin/env bash
# The demo: two entries, three agents with an engine each, one of them with a
# plain service whose calls may not be repeated, and an origin, all as separate
# processes on loopback. It ends every process it started, by id.
#
#   make demo                       run it
#   DEMO_KEEP=1 make demo           leave everything up and print what to try
#   DEMO_KILL_AGENT=N make demo     kill agent N in the middle of the spread
set -u
cd "$(dirname "$0")/.."

BIN=${BIN:-build}
PORT=${DEMO_PORT:-17700}
SIZE=${DEMO_SIZE:-16MiB}
SIZE_BYTES=$((${SIZE%MiB} * 1024 * 1024))
RATE=${DEMO_RATE:-16MiB}
FOLDER=$(mktemp -d)
PIDS=()
E1=127.0.0.1:$((PORT + 1))
E2=127.0.0.1:$((PORT + 2))
C1=127.0.0.1:$((PORT + 11))
C2=127.0.0.1:$((PORT + 12))
ORIGIN=127.0.0.1:$((PORT + 30))
SERVICE=127.0.0.1:$((PORT + 40))
export TIDEPOST_ENTRY=$E1,$E2

step() { printf '%s\n' "-- $*"; }

stop_all() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -9 "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
}

finish() {
  status=$?
  if [ "$status" -ne 0 ]; then
    for log in "$FOLDER"/*.log; do tail -n 5 "$log" | sed "s|^|$(basename "$log"): |"; done >&2
  fi
  if [ "${DEMO_KEEP:-}" = 1 ] && [ "$status" -eq 0 ]; then
    echo "left running, ids: ${PIDS[*]}; files in $FOLDER"
    echo "try:  export TIDEPOST_ENTRY=$TIDEPOST_ENTRY"
    echo "      $BIN/tidepost status; $BIN/tidepost get; $BIN/tidepost timeline"
    echo "      $BIN/tidepost label agent-2 purpose-; $BIN/tidepost drain agent-1"
    echo "      curl -sN http://$C1/v1/chat/completions -H 'X-Tidepost-Organisation: larder' -d '{\"model\":\"menu\",\"stream\":true}'"
    echo "end:  kill ${PIDS[*]}"
    return
  fi
  stop_all
  rm -rf "$FOLDER"
}
trap finish EXIT
trap 'exit 1' INT TERM

fail() { echo "demo: failed: $*"; exit 1; }

start() {
  name=$1; shift
  "$@" >"$FOLDER/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# wait_for SECONDS WHAT COMMAND...: until the command succeeds.
wait_for() {
  seconds=$1; what=$2; shift 2
  for _ in $(seq $((seconds * 20))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  fail "$what"
}

entry_settings() {
  cat >"$FOLDER/$1.yaml" <<EOF
vm: {name: $1, region: $2, failure_domain: $2-a}
data: {folder: $FOLDER/$1}
peers: {listen: "$3", entries: ["$4"], key_file: $FOLDER/key}
callers: {listen: "$5"}
control_log: {voter: true}
drain: {notice: 200ms}
EOF
}

agent_settings() {
  cat >"$FOLDER/$1.yaml" <<EOF
vm: {name: $1, region: $2, failure_domain: $2-a, labels: {purpose: menu}}
data: {folder: $FOLDER/$1}
peers: {listen: "$3", entries: ["$4"], key_file: $FOLDER/key}
engine: {url: "http://$5", checks_fences: true}
heartbeat: {interval: 200ms}
EOF
}

# ready_count counts the ready replicas, without the VM that was killed.
ready_count() { "$BIN/tidepost" status -o json | awk -v gone="agent-${DEMO_KILL_AGENT:-none}" '
  /"name":/ { name = $2 } /"phase": "ready"/ { if (index(name, gone) == 0) n++ } END { print n + 0 }'; }
ready_is() { [ "$(ready_count)" -ge "$1" ]; }

# ----------------------------------------------------------------
step "starting an origin, three engines, a plain service"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$FOLDER/key"
export TIDEPOST_KEY_FILE=$FOLDER/key
start origin "$BIN/tidepost-fake" origin --listen "$ORIGIN" --model menu@v7 --size "$SIZE" --chunk 256KiB --rate "$RATE"
for i in 1 2 3; do
  start engine-$i "$BIN/tidepost-fake" engine --listen 127.0.0.1:$((PORT + 20 + i)) --fences
done
start service "$BIN/tidepost-fake" service --listen "$SERVICE"

step "starting two entries"
entry_settings entry-1 north "$E1" "$E2" "$C1"
entry_settings entry-2 scotland "$E2" "$E1" "$C2"
for i in 1 2; do
  "$BIN/tidepost-entry" --settings "$FOLDER/entry-$i.yaml" --check >/dev/null || fail "settings of entry-$i"
  start entry-$i "$BIN/tidepost-entry" --settings "$FOLDER/entry-$i.yaml"
done
wait_for 10 "entry-1 does not answer" curl -sf "http://$C1/healthz"
wait_for 10 "entry-2 does not answer" curl -sf "http://$C2/healthz"

step "bootstrapping the control log: entry-1, then entry-2"
"$BIN/tidepost" bootstrap "$E1" "$E2" --timeout 20s || fail "bootstrap"

step "starting three agents"
agent_settings agent-1 north 127.0.0.1:$((PORT + 51)) "$E1" 127.0.0.1:$((PORT + 21))
agent_settings agent-2 north 127.0.0.1:$((PORT + 52)) "$E1" 127.0.0.1:$((PORT + 22))
agent_settings agent-3 scotland 127.0.0.1:$((PORT + 53)) "$E2" 127.0.0.1:$((PORT + 23))
echo "services: {ordering: \"http://$SERVICE\"}" >>"$FOLDER/agent-3.yaml"
for i in 1 2 3; do
  "$BIN/tidepost-agent" --settings "$FOLDER/agent-$i.yaml" --check >/dev/null || fail "settings of agent-$i"
  start agent-$i "$BIN/tidepost-agent" --settings "$FOLDER/agent-$i.yaml"
done
agents_seen() { [ "$("$BIN/tidepost" status -o json | grep -c '"role": "agent"')" -eq 3 ]; }
wait_for 10 "the agents are not heard of" agents_seen

step "applying one document: source, model, group, organisation, plain service"
cat >"$FOLDER/menu.yaml" <<EOF
sources: [{name: origin, url: "http://$ORIGIN"}]
models: [{name: menu, version: v7}]
groups: [{name: menu-all, selector: "purpose=menu", model: menu, version: v7, role: serve}]
organisations: [{name: larder, weight: 4}, {name: ladle, weight: 1}]
services: [{name: ordering, selector: "purpose=menu", repeatable: false}]
EOF
"$BIN/tidepost" check "$FOLDER/menu.yaml" >/dev/null || fail "the document is not valid"
began=$(date +%s%N)
"$BIN/tidepost" apply -f "$FOLDER/menu.yaml" --wait || fail "apply"

expected=3
if [ -n "${DEMO_KILL_AGENT:-}" ]; then
  some_chunks() { "$BIN/tidepost" status -o json | grep -E '"chunks": [1-9]'; }
  wait_for 10 "no chunk arrives" some_chunks
  step "killing agent-$DEMO_KILL_AGENT in the middle of the spread"
  victim=PID_agent_$DEMO_KILL_AGENT
  kill -9 "${!victim}"
  wait "${!victim}" 2>/dev/null
  expected=2
fi

step "waiting until the replicas are ready"
wait_for 60 "only $(ready_count) of $expected replicas are ready" ready_is "$expected"
time_to_ready=$(awk "BEGIN{printf \"%.2fs\", ($(date +%s%N) - $began) / 1e9}")
origin_bytes=$(curl -s "http://$ORIGIN/stats" | grep -o '[0-9]*')
origin_copies=$(awk "BEGIN{printf \"%.2f\", $origin_bytes / $SIZE_BYTES}")
"$BIN/tidepost" status

step "a caller's streamed request through entry-1"
curl -sN --max-time 20 "http://$C1/v1/chat/completions" -H 'X-Tidepost-Organisation: larder' \
  -d '{"model":"menu","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"a soft breakfast"}]}' >"$FOLDER/answer"
[ "$(grep -c '^data: {' "$FOLDER/answer")" -eq 12 ] || fail "the streamed answer has $(grep -c '^data: {' "$FOLDER/answer") of 12 parts"
grep -q '^data: \[DONE\]' "$FOLDER/answer" || fail "the streamed answer has no end"
answer_bytes=$(wc -c <"$FOLDER/answer")
echo "whole answer of $answer_bytes bytes"

if [ "${DEMO_KILL_AGENT:-}" = 3 ]; then
  # The plain service's only agent is the one that was killed.
  echo "demo: ok ready=$(ready_count)/$expected time_to_ready=$time_to_ready origin_copies=$origin_copies answer_bytes=$answer_bytes"
  exit 0
fi
step "an order through entry-1, and the same again through entry-2"
# Entries hear once a second of the services of other failure domains, so the
# first try may be told to come back. Under one key it may be sent again.
order() {
  curl -sf --max-time 20 "http://$1/services/ordering/orders" -H 'X-Tidepost-Organisation: larder' \
    -H 'Idempotency-Key: order-4711' -d 'flour 20kg' >"$FOLDER/order"
}
for c in "$C1" "$C2"; do
  wait_for 10 "no answer to the order at $c" order "$c"
  cat "$FOLDER/order"
done
runs=$(curl -s "http://$SERVICE/runs")
[ "$runs" = '{"flour 20kg":1}' ] || fail "the order ran otherwise than once: $runs"
echo "the order ran once"

if [ -z "${DEMO_KILL_AGENT:-}" ]; then
  step "taking agent-2 out of the group by its label, and putting it back"
  two_ready() { [ "$(ready_count)" -eq 2 ]; }
  "$BIN/tidepost" label agent-2 purpose- --wait || fail "label"
  wait_for 10 "agent-2 goes on serving without its label" two_ready
  "$BIN/tidepost" label agent-2 purpose=menu --wait || fail "label"
  wait_for 10 "agent-2 does not serve again" ready_is 3
fi

echo "demo: ok ready=$(ready_count)/$expected time_to_ready=$time_to_ready origin_copies=$origin_copies answer_bytes=$answer_bytes"
