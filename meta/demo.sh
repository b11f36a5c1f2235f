#!/usr/bin/env bash
# Runs a complete deployment on loopback: platform stand-in, two targets with their daemons, two entries.
# Submits one job to the first entry, and the same job id again to the second. Stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
source meta/lib/local_cluster.sh

start_platform 2
start_target court-1 court-control kandy-1 8 '"base_ms": 50'
start_target court-2 court-control kandy-2 8 '"base_ms": 50'
apply_text "{
  // One service, one team, one operator, two failure domains.
  \"services\": {\"court-control\": {\"expected_run_ms\": 50}},
  \"teams\": {\"club\": {\"token_sha256\": \"$(digest club-token)\"}},
  \"operators\": {\"on-call\": {\"token_sha256\": \"$(digest operator-token)\"}},
  \"failure_domains\": [\"kandy-1\", \"kandy-2\"]
}"
until_true has_ready entry-1 2
until_true has_ready entry-2 2

id=$(call club-token -X POST "$(url entry-1)/v1/job-ids" | grep -oE '"ids":\["[^"]+' | cut -d'"' -f4)
job='{"tasks": [{"service": "court-control", "body": "court 1 on"},
  {"service": "court-control", "body": "court 2 on"},
  {"service": "court-control", "body": "court 3 dim"}]}'
echo "Job id: $id"
first=$(call club-token -X PUT -d "$job" "$(url entry-1)/v1/jobs/$id")
echo "Answer of entry-1: $first"
second=$(call club-token -X PUT -d "$job" "$(url entry-2)/v1/jobs/$id")
echo "Answer of entry-2: $second"
starts=0
for target in court-1 court-2; do
  count=$(curl -sS "$(url $target)/control" | grep -oE '"starts":[0-9]+' | cut -d: -f2)
  starts=$((starts + count))
done
echo "Tasks started by both targets together: $starts"
[ "$first" = "$second" ] && [ "$starts" = 3 ] && echo "The second entry gave the same answer and started nothing."
