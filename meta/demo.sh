#!/usr/bin/env bash
# Runs the whole path on loopback: platform stand-in, two targets with their daemons, two entries.
# Submits one job to the first entry, and the same job id again to the second. Stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${WAGTAIL_BUILD:-build}/bin
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT

# start NAME PROGRAM SETTINGS: runs a program and waits until it says where it listens.
start() {
  printf '%s\n' "$3" >"$work/$1.jsonc"
  "$bin/$2" --settings "$work/$1.jsonc" >"$work/$1.out" 2>"$work/$1.err" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^listening' "$work/$1.out" && return
    sleep 0.05
  done
  echo "$1 does not start:" >&2
  cat "$work/$1.err" >&2
  exit 1
}
http_port() { grep -oE '^listening (http=)?[0-9]+' "$work/$1.out" | grep -oE '[0-9]+$'; }
call() { curl -sS -H "authorization: Bearer $1" "${@:2}"; }
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
until_true() { for _ in $(seq 300); do "$@" && return; sleep 0.1; done; echo "gave up: $*" >&2; exit 1; }

key=a-cluster-key-for-the-demo
start platform stand_in_platform '{}'
table="http://127.0.0.1:$(http_port platform)"
for entry in entry-1 entry-2; do
  start $entry wagtail-entryd "{\"name\": \"$entry\", \"cluster_key\": \"$key\",
    \"table_url\": \"$table\", \"bootstrap_token_sha256\": \"$(digest operator-token)\"}"
done
for number in 1 2; do
  start daemon-$number wagtail-targetd "{\"target\": \"court-$number\",
    \"failure_domain\": \"kandy-$number\", \"cluster_key\": \"$key\", \"table_url\": \"$table\"}"
  start court-$number stand_in_target "{\"target\": \"court-$number\",
    \"service\": \"court-control\", \"slots\": 8, \"base_ms\": 50,
    \"daemon_url\": \"http://127.0.0.1:$(http_port daemon-$number)\"}"
done
entry1="http://127.0.0.1:$(http_port entry-1)"
entry2="http://127.0.0.1:$(http_port entry-2)"

cat >"$work/operators.jsonc" <<TEXT
{
  // One service, one team, one operator, two failure domains.
  "services": {"court-control": {"expected_run_ms": 50}},
  "teams": {"club": {"token_sha256": "$(digest club-token)"}},
  "operators": {"on-call": {"token_sha256": "$(digest operator-token)"}},
  "failure_domains": ["kandy-1", "kandy-2"]
}
TEXT
WAGTAIL_TEXT="$work/operators.jsonc" python3 -c '
import json, os
text = open(os.environ["WAGTAIL_TEXT"]).read()
print(json.dumps({"change_id": "demo-1", "base_version": 0, "kind": "apply_text", "text": text}))
' >"$work/change.json"
echo "Configuration: $(call operator-token -d @"$work/change.json" "$entry1/v1/operator/changes")"

both_ready() {
  for entry in "$entry1" "$entry2"; do
    [ "$(call operator-token "$entry/v1/operator/targets" | grep -o '"state":"ready"' | wc -l)" = 2 ] || return 1
  done
}
until_true both_ready

id=$(call club-token -X POST "$entry1/v1/job-ids" | grep -oE '"ids":\["[^"]+' | cut -d'"' -f4)
job='{"tasks": [{"service": "court-control", "body": "court 1 on"},
  {"service": "court-control", "body": "court 2 on"},
  {"service": "court-control", "body": "court 3 dim"}]}'
echo "Job id: $id"
first=$(call club-token -X PUT -d "$job" "$entry1/v1/jobs/$id")
echo "Answer of entry-1: $first"
second=$(call club-token -X PUT -d "$job" "$entry2/v1/jobs/$id")
echo "Answer of entry-2: $second"
starts=0
for number in 1 2; do
  count=$(curl -sS "http://127.0.0.1:$(http_port court-$number)/control" | grep -oE '"starts":[0-9]+' | cut -d: -f2)
  starts=$((starts + count))
done
echo "Tasks started by both targets together: $starts"
[ "$first" = "$second" ] && [ "$starts" = 3 ] && echo "The second entry gave the same answer and started nothing."
