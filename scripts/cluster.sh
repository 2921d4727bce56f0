# Functions that start stand-ins and nodes on loopback as child processes and stop them by process id. To be sourced.
# The sourcing script sets: bin (the build folder), logs (a folder for the output of the processes) and base_port.

pids=()
operator_key="demo-operator-key"

start_process() { # name command...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.2
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

wait_for() { # url
  local attempt
  for attempt in $(seq 1 100); do
    curl -fs -o /dev/null --max-time 1 "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

table_port() { echo $((base_port)); }
cloud_port() { echo $((base_port + 1)); }
node_http() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
node_peer() { echo "127.0.0.1:$((base_port + 500 + $1))"; }

start_platform() {
  start_process table "$bin/Tests/StandIns/standin" table --port "$(table_port)"
  start_process cloud "$bin/Tests/StandIns/standin" cloud --port "$(cloud_port)"
  wait_for "http://127.0.0.1:$(table_port)/control"
  wait_for "http://127.0.0.1:$(cloud_port)/control"
}

# Adds a running instance to the list of the cloud stand-in: id role service version address zone region price slots
list_instance() {
  curl -fs -o /dev/null --max-time 2 "http://127.0.0.1:$(cloud_port)/control" -d "{\"set\":[{\"id\":\"$1\",\"role\":\"$2\",\"service\":\"$3\",
    \"version\":\"$4\",\"address\":\"$5\",\"zone\":\"$6\",\"region\":\"$7\",\"price_per_hour_micro\":$8,\"slots\":$9,\"state\":\"running\"}]}"
}

start_engine() { # number zone region price [options...]
  local number=$1 zone=$2 region=$3 price=$4
  shift 4
  local port=$((base_port + 200 + number))
  start_process "engine-$number" "$bin/Tests/StandIns/standin" engine --port "$port" --name "engine-$number" "$@"
  list_instance "engine-$number" engine summary-model v1 "127.0.0.1:$port" "$zone" "$region" "$price" 8
}

start_service() { # number zone region
  local port=$((base_port + 300 + $1))
  start_process "ledger-$1" "$bin/Tests/StandIns/standin" service --port "$port" --name "ledger-$1"
  list_instance "ledger-$1" service ledger v1 "127.0.0.1:$port" "$2" "$3" 20000 16
}

start_node() { # number zone region [options...]
  local number=$1 zone=$2 region=$3
  shift 3
  local seed=1
  [ "$number" = 1 ] && seed=2
  FILBERTREEL_OPERATOR_KEY=$operator_key start_process "node-$number" "$bin/Source/Filbertreeld/filbertreeld" \
    --node "node-$number" --zone "$zone" --region "$region" --http-listen "$(node_http "$number")" \
    --peer-listen "$(node_peer "$number")" --peer "$(node_peer $seed)" \
    --table-url "http://127.0.0.1:$(table_port)" --cloud-url "http://127.0.0.1:$(cloud_port)" "$@"
}

operator() {
  FILBERTREEL_URL="http://$(node_http 1)" FILBERTREEL_OPERATOR_KEY=$operator_key "$bin/Source/Filbertreel/filbertreel" "$@"
}

# Creates the classes of work of the demonstration and a client account; prints the account's key.
configure_classes() {
  operator class set inspection-summary --work model --service summary-model --first-token-ms 810 --between-tokens-ms 53 --cause "first class" >/dev/null
  operator class set quote-draft --work model --service summary-model --first-token-ms 810 --between-tokens-ms 53 --priority 5 --cause "first class" >/dev/null
  operator class set crate-release --work service --service ledger --idempotent false --answer-ms 5000 --cause "first class" >/dev/null
  operator class set stock-lookup --work service --service ledger --idempotent true --answer-ms 2000 --cause "first class" >/dev/null
  operator account create depot-east --cause "first account" | sed -n 's/^key (shown once): //p'
}
