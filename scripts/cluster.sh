# Functions that start and stop a small system on loopback, for the demo and the
# benchmarks. Sourced by other scripts, which must set BUILD (the build folder)
# and WORK (a folder for logs).

PORT_BASE=${PORT_BASE:-21000}
KEY=demo-key
OPERATOR_KEY=demo-operator-key
declare -A PIDS=()

# start NAME COMMAND...: starts a program in the background, with its log in
# WORK/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME [SIGNAL]: sends a signal, by default TERM, to a process and waits for
# it to exit.
stop() {
  local name=$1 signal=${2:-TERM}
  kill -"$signal" "${PIDS[$name]}" 2>/dev/null || true
  wait "${PIDS[$name]}" 2>/dev/null || true
  unset "PIDS[$name]"
}

# Terminates all processes that were started and waits for them to exit.
stop_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -TERM "${PIDS[$name]}" 2>/dev/null || true
  done
  for name in "${!PIDS[@]}"; do
    wait "${PIDS[$name]}" 2>/dev/null || true
  done
  PIDS=()
}

# Every kind of process has a range of 100 ports, indexed by its number.
platform_address() { echo "127.0.0.1:$PORT_BASE"; }
engine_address() { echo "127.0.0.1:$((PORT_BASE + 100 + $1))"; }
service_address() { echo "127.0.0.1:$((PORT_BASE + 200 + $1))"; }
router_address() { echo "127.0.0.1:$((PORT_BASE + 300 + $1))"; }
agent_address() { echo "127.0.0.1:$((PORT_BASE + 400 + $1))"; }
operator_address() { echo "127.0.0.1:$((PORT_BASE + 500 + $1))"; }
zone_of() { echo "zone-$(($1 % 3))"; }

start_platform() {
  start platform "$BUILD/standin-platform" --listen "$(platform_address)"
}

# start_engine INDEX MODEL [FLAG...]
start_engine() {
  local index=$1 model=$2
  shift 2
  start "engine-$index" "$BUILD/standin-engine" \
    --listen "$(engine_address "$index")" --model "$model" \
    --seed "$((index + 1))" "$@"
}

start_service() {
  start "service-$1" "$BUILD/standin-service" --listen "$(service_address "$1")"
}

# start_agent INDEX VMS [FLAG...]
start_agent() {
  local index=$1 seeds
  seeds=$(agent_address 0),$(agent_address 1)
  shift 2
  start "agent-$index" "$BUILD/waxwing-agent" --vm "vm-$index" \
    --zone "$(zone_of "$index")" --listen "$(agent_address "$index")" \
    --operators "$(operator_address "$index")" \
    --router "$(router_address "$index")" --platform "$(platform_address)" \
    --seeds "$seeds" --key "$KEY" --operator-key "$OPERATOR_KEY" \
    --log-level "${LOG_LEVEL:-info}" "$@"
}

# start_router INDEX [FLAG...]
start_router() {
  local index=$1
  shift
  start "router-$index" "$BUILD/waxwing-router" --vm "vm-$index" \
    --zone "$(zone_of "$index")" --listen "$(router_address "$index")" \
    --agent "$(agent_address "$index")" --key "$KEY" \
    --log-level "${LOG_LEVEL:-info}" "$@"
}

# ctl VM_INDEX ARGUMENT...: runs waxwingctl against the agent of a VM.
ctl() {
  local index=$1
  shift
  "$BUILD/waxwingctl" --agent "$(operator_address "$index")" \
    --operator-key "$OPERATOR_KEY" --operator "${OPERATOR:-demo}" "$@"
}

# import_intent MODEL ENGINES SERVICE SERVICES ACCOUNT_PREFIX: prints the intent
# that imports the configuration of a system with 8 client accounts.
import_intent() {
  local model=$1 engines=$2 service=$3 services=$4 prefix=$5
  local targets="" accounts="" i
  for ((i = 0; i < engines; i++)); do
    targets+="{\"name\":\"engine-$i\",\"kind\":\"model\",\"address\":\"$(engine_address "$i")\",\"zone\":\"$(zone_of "$i")\",\"serves\":\"$model\",\"version\":\"v1\"},"
  done
  for ((i = 0; i < services; i++)); do
    targets+="{\"name\":\"service-$i\",\"kind\":\"application\",\"address\":\"$(service_address "$i")\",\"zone\":\"$(zone_of "$i")\",\"serves\":\"$service\"},"
  done
  for ((i = 0; i < 8; i++)); do
    accounts+="{\"name\":\"$prefix-$i\",\"key\":\"key-$prefix-$i\",\"tokens_per_second\":0,\"burst_tokens\":0,\"priority\":4},"
  done
  echo "{\"kind\":\"import\",\"config\":{\"models\":[{\"name\":\"$model\",\"versions\":[{\"version\":\"v1\",\"percent\":100}]}],\"services\":[{\"name\":\"$service\",\"non_idempotent_paths\":[\"/submit\",\"/start\",\"/stop\"]}],\"targets\":[${targets%,}],\"accounts\":[${accounts%,}]}}"
}

# apply_intent VM_INDEX FILE: creates a plan from the intent in a file and
# confirms it.
apply_intent() {
  local index=$1 file=$2 plan
  plan=$(ctl "$index" --json intent "@$file" |
    sed -n 's/.*"plan":"\([0-9a-f]*\)".*/\1/p')
  [ -n "$plan" ] && ctl "$index" confirm "$plan"
}

# wait_for_agent VM_INDEX: waits until the agent responds to operators.
wait_for_agent() {
  local i
  for ((i = 0; i < 100; i++)); do
    ctl "$1" status >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "agent $1 did not start" >&2
  return 1
}
