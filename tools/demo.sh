#!/usr/bin/env bash
# Starts the system on loopback with stand-ins for the platform and the upstreams,
# applies a configuration, sends a streamed chat completion, a booking and a
# lookup, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked --quiet
bin=${CARGO_TARGET_DIR:-target}/debug
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$work"
}
trap stop_all EXIT

port=${EGRET_DEMO_PORT:-18400}
log_port=$port list_port=$((port + 1)) store_port=$((port + 2))

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}

process_settings() { # INSTANCE ZONE ADMIN_PORT
  cat <<TOML
[process]
instance = "$1"
zone = "$2"
admin_listen = "127.0.0.1:$3"
log_url = "http://127.0.0.1:$log_port"
list_url = "http://127.0.0.1:$list_port"
link_key = "demo-key"
TOML
}

start_entry() { # NAME ZONE PORT
  { process_settings "$1" "$2" $(($3 + 1))
    printf '\n[callers]\nlisten = "127.0.0.1:%s"\n' "$3"
  } >"$work/$1.toml"
  start_process "$1" "$bin/egret-entry" --settings "$work/$1.toml"
}

start_upstream() { # NAME ZONE PORT SERVICE KIND
  local kind=$5 standin=plain
  [ "$kind" = engine ] && standin=engine
  start_process "$1-upstream" "$bin/egret-standin" "$standin" --listen "127.0.0.1:$3"
  { process_settings "$1" "$2" $(($3 + 2))
    printf '\n[upstream]\nservice = "%s"\nkind = "%s"\naddress = "127.0.0.1:%s"\n' "$4" "$kind" "$3"
  } >"$work/$1.toml"
  sed -i "1i listen = \"127.0.0.1:$(($3 + 1))\"" "$work/$1.toml"
  start_process "$1" "$bin/egret-companion" --settings "$work/$1.toml"
  curl --fail --silent --show-error --retry 20 --retry-connrefused --retry-delay 0 \
    -X PUT "http://127.0.0.1:$list_port/instances/$1" --data @- >/dev/null <<JSON
{"instance": "$1", "role": "companion", "address": "127.0.0.1:$(($3 + 1))",
 "zone": "$2", "service": "$4", "state": "live"}
JSON
}

await_ready() { # PORT
  curl --fail --silent --retry 100 --retry-all-errors --retry-delay 0 --retry-max-time 20 \
    "http://127.0.0.1:$1/readyz" >/dev/null
}

send_request() { # PORT TOKEN CURL_ARGUMENTS... PATH
  local entry_port=$1 token=$2
  shift 2
  curl --fail-with-body --silent --show-error --no-buffer \
    -H "Authorization: Bearer $token" -H 'Egret-Budget-Ms: 10000' \
    "${@:1:$#-1}" "http://127.0.0.1:$entry_port${*: -1}"
  echo
}

start_process log "$bin/egret-standin" log --listen "127.0.0.1:$log_port"
start_process list "$bin/egret-standin" list --listen "127.0.0.1:$list_port" --lag-ms 100
start_process store "$bin/egret-standin" store --listen "127.0.0.1:$store_port"
start_upstream draft-w west $((port + 10)) drafting engine
start_upstream draft-e east $((port + 20)) drafting engine
start_upstream ledger west $((port + 30)) booking plain
start_entry entry-w west $((port + 40))
start_entry entry-e east $((port + 50))

"$bin/egretctl" check examples/demo/configuration.json
"$bin/egretctl" apply examples/demo/configuration.json --log "http://127.0.0.1:$log_port"
await_ready $((port + 41))
await_ready $((port + 51))
sleep 1

echo '--- streamed chat completion'
send_request $((port + 40)) crew-token -H 'Content-Type: application/json' --data \
  '{"model": "draft-1", "stream": true, "max_tokens": 4, "messages": [{"role": "user", "content": "Summarise the survey of duct 17."}]}' \
  /v1/chat/completions
echo '--- booking with an idempotency key'
send_request $((port + 50)) desk-token -H 'Idempotency-Key: booking-17' -H 'Content-Type: application/json' \
  --data '{"duct": 17, "segment": "a"}' /services/booking/bookings
echo '--- lookup without a key'
send_request $((port + 40)) desk-token '/services/booking/occupancy?duct=17'

echo '--- graceful stop'
for name in entry_w entry_e draft_w draft_e ledger; do
  pid=pid_$name
  kill -TERM "${!pid}"
done
for name in entry_w entry_e draft_w draft_e ledger; do
  pid=pid_$name
  wait "${!pid}"
  echo "$name stopped with exit code $?"
done
echo '--- logged decisions'
grep -h '"target":"decision"' "$work"/*.log
