#!/usr/bin/env bash
# Measures the cost of dispatch and control on this VM and prints Markdown tables.
# Usage: meta/capacity.sh [all|throughput|control|table]   (needs a finished meta/build.sh)
set -euo pipefail
cd "$(dirname "$0")/.."
source meta/lib/local_cluster.sh
part=${1:-all}

value() { grep -oE "\"$2\":[-0-9.e+]+" <<<"$1" | head -1 | cut -d: -f2; }
rounded() { awk -v v="$(value "$1" "$2")" -v f="${3:-%.1f}" -v s="${4:-1}" 'BEGIN {printf f, v * s}'; }

throughput_rows() {
  "$bin/wagtail-capacity-bench" throughput "$@" | while read -r line; do
    echo "| $(value "$line" targets) | $(value "$line" job_tasks) |" \
      "$(rounded "$line" starts_per_second %.0f) | $(rounded "$line" entry_us_per_task) |" \
      "$(rounded "$line" target_us_per_task) |" \
      "$(rounded "$line" starts_per_entry_cpu_second %.0f) |" \
      "$(rounded "$line" half_load_entry_us_per_task) |" \
      "$(rounded "$line" half_load_p50_ms %.2f) | $(rounded "$line" half_load_p99_ms %.2f) |"
  done
}
measure_throughput() {
  echo "| targets | tasks a job | starts/s | entry us/task | targets us/task | starts per entry CPU s | entry us/task at half load | job p50 ms | job p99 ms |"
  echo "|---|---|---|---|---|---|---|---|---|"
  throughput_rows --targets 12 --slots 8 --measured-ms 1500
  throughput_rows --targets 100 --slots 20 --measured-ms 1500 --job-tasks 8 69 690
  throughput_rows --targets 300 --slots 20 --measured-ms 1500 --job-tasks 8 69 690
}

bench_text() {
  echo "{\"services\": {\"bench\": {\"expected_run_ms\": 100}},
    \"teams\": {\"bench-$1\": {\"token_sha256\": \"$(digest bench-token)\"}},
    \"operators\": {\"on-call\": {\"token_sha256\": \"$(digest operator-token)\"}},
    \"failure_domains\": [\"zone-1\", \"zone-2\", \"zone-3\"]}"
}
table_counter() { curl -sS "$(url platform)/control" | grep -oE "\"$1\": *[0-9]+" | grep -oE '[0-9]+$'; }

# control_row TARGETS ENTRIES: a new cluster for each row, so that memory shows its slope over the rows.
control_row() (
  cluster_work=$(mktemp -d)
  cluster_pid=()
  trap stop_cluster EXIT
  start_platform "$2"
  apply_text "$(bench_text 0)" >/dev/null
  local pids=() number
  for number in $(seq "$2"); do pids+=(--watch-pid "${cluster_pid[entry-$number]}"); done
  local bare
  bare=$(awk '/^VmRSS/ {print $2}' "/proc/${cluster_pid[entry-1]}/status")
  local line
  line=$("$bin/wagtail-capacity-bench" control --targets "$1" --entries "$2" \
    --cluster-key "$cluster_key" --table-url "$(url platform)" "${pids[@]}")
  echo "| $1 | $2 | $(value "$line" links) | $(rounded "$line" payload_bytes_per_link_second %.0f) |" \
    "$(rounded "$line" wire_bytes_per_link_second %.0f) |" \
    "$(rounded "$line" daemon_cpu_fraction %.3f 100)% |" \
    "$(rounded "$line" cpu_fraction %.2f 100)% | $bare | $(value "$line" rss_kib) |" \
    "$(rounded "$line" daemon_kib_in_shared_process %.0f) |"
)
measure_control() {
  echo "| targets | entries | links | payload B/s a link | wire B/s a link | core per daemon | core per entry | entry KiB bare | entry KiB linked | KiB per daemon in one process |"
  echo "|---|---|---|---|---|---|---|---|---|---|"
  local targets
  for targets in 10 30 100 300; do control_row "$targets" 1; done
  control_row 30 3
  control_row 30 6
}

# Reads of the table per entry, resident memory of the bare daemons, and the time until a change is
# in force.
measure_table() (
  cluster_work=$(mktemp -d)
  cluster_pid=()
  trap stop_cluster EXIT
  echo "| what | figure |"
  echo "|---|---|"
  local entries=2 before after
  start_platform $entries
  start_target court-1 bench zone-1 8
  apply_text "$(bench_text 0)" >/dev/null
  until_true has_ready entry-1 1
  before=$(table_counter reads)
  sleep 5
  after=$(table_counter reads)
  echo "| table reads/s, $entries idle entries | $(((after - before) / 5)) |"
  local name
  for name in entry-1 court-1-daemon; do
    echo "| $name resident KiB | $(awk '/^VmRSS/ {print $2}' "/proc/${cluster_pid[$name]}/status") |"
  done
)

# change_row TARGETS: the time from a change's submission until it is in force everywhere.
change_row() (
  cluster_work=$(mktemp -d)
  cluster_pid=()
  trap stop_cluster EXIT
  start_platform 1
  apply_text "$(bench_text 0)" >/dev/null
  "$bin/wagtail-capacity-bench" control --targets "$1" --cluster-key "$cluster_key" \
    --table-url "$(url platform)" --measured-ms 30000 >/dev/null &
  cluster_pid[bench]=$!
  until_true has_ready entry-1 "$1"
  local change began version times=
  for change in 1 2 3; do
    began=$(date +%s%N)
    version=$(apply_text "$(bench_text $change)" | grep -oE 'version [0-9]+' | grep -oE '[0-9]+')
    operate wait "$version" >/dev/null 2>&1
    times+=" $((($(date +%s%N) - began) / 1000000))"
  done
  echo "| change in force, $1 targets, ms |$times |"
)

if [ "$part" = all ] || [ "$part" = throughput ]; then measure_throughput; echo; fi
if [ "$part" = all ] || [ "$part" = control ]; then measure_control; echo; fi
if [ "$part" = all ] || [ "$part" = table ]; then
  measure_table
  for targets in 30 100 300; do change_row "$targets"; done
fi
