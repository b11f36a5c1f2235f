# Sourced by the demo and the experiments: starts programs on loopback and ends only those.

bin=${WAGTAIL_BUILD:-build}/bin
cluster_work=$(mktemp -d)
cluster_key=a-cluster-key-for-loopback
declare -A cluster_pid

stop_cluster() {
  local name
  for name in "${!cluster_pid[@]}"; do kill "${cluster_pid[$name]}" 2>/dev/null || true; done
  for name in "${!cluster_pid[@]}"; do wait "${cluster_pid[$name]}" 2>/dev/null || true; done
  rm -rf "$cluster_work"
}
trap stop_cluster EXIT

digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
until_true() {
  local try
  for try in $(seq 300); do "$@" && return; sleep 0.1; done
  echo "gave up: $*" >&2
  exit 1
}
is_listening() { grep -q '^listening' "$cluster_work/$1.out"; }

# start NAME PROGRAM SETTINGS: runs a program and waits until it prints its ports.
start() {
  printf '%s\n' "$3" >"$cluster_work/$1.jsonc"
  "$bin/$2" --settings "$cluster_work/$1.jsonc" >"$cluster_work/$1.out" 2>"$cluster_work/$1.err" &
  cluster_pid[$1]=$!
  until_true is_listening "$1"
}
http_port() { grep -oE '^listening (http=)?[0-9]+' "$cluster_work/$1.out" | grep -oE '[0-9]+$'; }
url() { echo "http://127.0.0.1:$(http_port "$1")"; }
call() { curl -sS -H "authorization: Bearer $1" "${@:2}"; }
operate() { "$bin/wagtailctl" --entry "$(url entry-1)" --token-file "$cluster_work/operator.token" "$@"; }

# start_platform ENTRIES: the platform's stand-in and that many entries.
start_platform() {
  local number
  printf operator-token >"$cluster_work/operator.token"
  start platform stand_in_platform '{}'
  for number in $(seq "$1"); do
    start "entry-$number" wagtail-entryd "{\"name\": \"entry-$number\",
      \"failure_domain\": \"zone-$(((number - 1) % 3 + 1))\", \"cluster_key\": \"$cluster_key\",
      \"table_url\": \"$(url platform)\", \"log_level\": \"${WAGTAIL_LOG:-warning}\",
      \"bootstrap_token_sha256\": \"$(digest operator-token)\"}"
  done
}
# start_target NAME SERVICE DOMAIN SLOTS [MORE]: a target and its daemon.
start_target() {
  start "$1-daemon" wagtail-targetd "{\"target\": \"$1\", \"failure_domain\": \"$3\",
    \"cluster_key\": \"$cluster_key\", \"table_url\": \"$(url platform)\",
    \"log_level\": \"${WAGTAIL_LOG:-warning}\"}"
  start "$1" stand_in_target "{\"target\": \"$1\", \"service\": \"$2\", \"slots\": $4,
    \"daemon_url\": \"$(url "$1-daemon")\"${5:+, $5}}"
}
apply_text() {
  printf '%s\n' "$1" >"$cluster_work/operators.jsonc"
  operate apply "$cluster_work/operators.jsonc"
}
ready_targets() { call operator-token "$(url "$1")/v1/operator/targets" | grep -o '"state":"ready"' | wc -l; }
has_ready() { [ "$(ready_targets "$1")" -ge "$2" ]; }
