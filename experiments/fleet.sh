# Runs a fleet of stand-ins and VMs on loopback: source this file, then call start_fleet with the names of the
# workspaces to create. stop_fleet kills the processes; it also runs when the shell exits.
# Environment variables: VMS, DOMAINS, ENGINES, RATE (requests/s per workspace), BASE_PORT.

set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
VMS=${VMS:-4} DOMAINS=${DOMAINS:-2} ENGINES=${ENGINES:-4} RATE=${RATE:-500} BASE_PORT=${BASE_PORT:-21000}
export AGATESTREAM_FLEET_SECRET=experiment AGATESTREAM_BOOTSTRAP_OPERATOR_KEY=ago_experiment
export AGATESTREAM_JAVA_OPTIONS=${AGATESTREAM_JAVA_OPTIONS:--XX:+UseSerialGC -Xmx192m}
platform=127.0.0.1:$BASE_PORT
pids=()

stand_in() {
  java -XX:+UseSerialGC -Xmx96m -jar "$root/standins/target/agatestream-standins.jar" "$@" > "$work/$1-$3.log" 2>&1 &
  pids+=($!)
}

caller_address() { echo "127.0.0.1:$((BASE_PORT + 100 + $1))"; }
engine_address() { echo "127.0.0.1:$((BASE_PORT + 300 + $1))"; }
domain_of() { echo "d$(($1 % DOMAINS + 1))"; }

vm_list() {
  local list=""
  for i in $(seq "$VMS"); do
    list+=",{\"id\":\"vm-$i\",\"failureDomain\":\"$(domain_of "$i")\",\"callerAddress\":\"$(caller_address "$i")\""
    list+=",\"peerAddress\":\"127.0.0.1:$((BASE_PORT + 200 + i))\"}"
  done
  echo "[${list:1}]"
}

start_vm() {
  cat > "$work/vm-$1.json" <<JSON
{"vm":"vm-$1","failureDomain":"$(domain_of "$1")","callerAddress":"$(caller_address "$1")",
 "peerAddress":"127.0.0.1:$((BASE_PORT + 200 + $1))","platformAddress":"$platform","entryTtlSeconds":2}
JSON
  "$root/cli/target/agatestream" serve --config "$work/vm-$1.json" > "$work/vm-$1.log" 2>&1 &
  pids+=($!)
}

put() { curl -sf -X PUT -H "authorization: Bearer ago_experiment" -d "$2" "$(caller_address 1)/admin/v1/settings$1" > "$work/put.log"; }

new_key() {
  curl -sf -X POST -H "authorization: Bearer ago_experiment" -d "{\"path\":\"/teams/t/keys/$1\",\"workspace\":\"$1\"}" \
    "$(caller_address 1)/admin/v1/keys" | sed 's/.*"key":"\([^"]*\)".*/\1/'
}

wait_for() { until curl -sf "$1" > "$work/wait.log"; do sleep 0.2; done; }

start_fleet() {
  trap stop_fleet EXIT
  stand_in platform --port "$BASE_PORT"
  for i in $(seq "$ENGINES"); do stand_in engine --port "$((BASE_PORT + 300 + i))"; done
  wait_for "$platform/standin/counts"
  curl -sf -X POST -d "$(vm_list)" "$platform/standin/vms" > "$work/vms.log"
  for i in $(seq "$VMS"); do start_vm "$i"; done
  for i in $(seq "$VMS"); do wait_for "$(caller_address "$i")/health/ready"; done
  put /fleet/models/m '{}'
  for i in $(seq "$ENGINES"); do
    put "/fleet/backend-servers/e$i" "{\"address\":\"$(engine_address "$i")\",\"failureDomain\":\"$(domain_of "$i")\",\
\"kind\":\"ENGINE\",\"models\":[\"m\"],\"warmSlots\":8}"
  done
  for w in "$@"; do put "/teams/t/workspaces/$w" "{\"ratePerSecond\":$RATE,\"burst\":$RATE}"; done
}

entries() { for i in $(seq "$VMS"); do caller_address "$i"; done | paste -sd,; }

stop_fleet() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2> "$work/kill.log" || true; done
}
