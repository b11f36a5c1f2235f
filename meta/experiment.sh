#!/usr/bin/env bash
# Runs one load scenario against a local cluster of the users' size: three failure domains, a dozen
# targets with eight slots each and different speeds (1x to 4x), two entries.
# Usage: meta/experiment.sh SCENARIO.jsonc RESULT.json
# The scenario's `entries` and tokens are replaced by those of the cluster.
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=$1 result=$2
source meta/lib/local_cluster.sh

slowdowns=(1 1 1.3 1.3 1.6 1.6 2 2 2.5 2.5 3 4)
domain_names=$(grep -oE '"subject": *"[^"]+"' "$scenario" | head -1 | cut -d'"' -f4)
prefix=${domain_names%-*}
prefix=${prefix:-zone}
read -r -a services <<<"$(sed -n '/"services"/,/}$/p' "$scenario" | grep -oE '"[a-z-]+": *\{ *"weight"' | cut -d'"' -f2 | tr '\n' ' ')"

start_platform 2
targets=()
for number in $(seq 0 11); do
  domain=$prefix-$(echo a b c | cut -d' ' -f$((number % 3 + 1)))
  # Every fourth target serves the second service, if there is one.
  service=${services[0]}
  [ ${#services[@]} -gt 1 ] && [ $((number / 3)) -eq 3 ] && service=${services[1]}
  start_target "target-$number" "$service" "$domain" 8 "\"slowdown\": ${slowdowns[$number]}"
  targets+=("$(url "target-$number")")
done
service_text=$(printf '"%s": {"expected_run_ms": 100, "task_timeout_ms": 20000},' "${services[@]}")
apply_text "{
  \"services\": {${service_text%,}},
  \"teams\": {\"load\": {\"token_sha256\": \"$(digest load-token)\", \"starts_per_second\": 100000,
    \"burst_tasks\": 100000, \"max_tasks_in_flight\": 100000}},
  \"operators\": {\"on-call\": {\"token_sha256\": \"$(digest operator-token)\"}},
  \"failure_domains\": [\"$prefix-a\", \"$prefix-b\", \"$prefix-c\"]
}"
until_true has_ready entry-1 12
until_true has_ready entry-2 12
sed -E "s|\"entries\": *\[[^]]*\]|\"entries\": [\"$(url entry-1)\", \"$(url entry-2)\"]|;
  s|\"token\": *\"[^\"]*\"|\"token\": \"load-token\"|;
  s|\"operator_token\": *\"[^\"]*\"|\"operator_token\": \"operator-token\"|" "$scenario" >"$cluster_work/scenario.jsonc"
"$bin/wagtail-load" run "$cluster_work/scenario.jsonc" --out "$result"
"$bin/wagtail-load" show "$result"
"$bin/wagtail-load" check-stand-ins "${targets[@]}"
for entry in entry-1 entry-2; do
  call operator-token "$(url $entry)/v1/operator/status"; echo
done
for name in entry-1 target-0-daemon; do
  awk -v name=$name '/^(VmRSS|VmHWM)/ {printf "%s %s %s kB\n", name, $1, $2}' "/proc/${cluster_pid[$name]}/status"
done
