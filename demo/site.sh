# Functions that configure and run a small site on this machine; sourced by the demo and the measurements.
#
# A site has VMS VMs with an entry and a pooler each. All processes listen on 127.0.0.1, ports from BASE up.

BIN=${BIN:-build}
RUN=${RUN:-build/run}
BASE=${BASE:-21000}
VMS=${VMS:-3}
POLICY=${POLICY:-session}
DATABASES=${DATABASES:-"visits-db-1 visits-db-2 visits-db-3"}
CENTRES=(erie-shore huron-shore michigan-shore)
SLOTS=${SLOTS:-2}
CONNECTIONS=${CONNECTIONS:-16}
GROUP_OPTIONS=${GROUP_OPTIONS:-"--lag 50 --latency 3"}
PIDS=()

store_address() { echo "127.0.0.1:$BASE"; }
group_port() { echo $((BASE + 100 + 10 * $1)); }         # database index, from 0
entry_port() { echo $((BASE + 10 + 10 * $1)); }          # VM number, from 1

# Starts a program in the background; its output and log go to the folder of the settings.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PIDS+=($!)
  printf '%s' $! >"$RUN/$name.pid"
}

# Terminates all processes that this shell started, by process id.
stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  PIDS=()
}

databases_json() {
  local n=0 name out=""
  for name in $DATABASES; do
    local port=$(group_port $n) instances="" i
    for i in 0 1 2; do
      instances+="{\"name\": \"$name-$((i + 1))\", \"data_centre\": \"${CENTRES[$i]}\", \"address\": \"127.0.0.1:$((port + i + 1))\"},"
    done
    out+="{\"name\": \"$name\", \"slots\": $SLOTS, \"connections\": $CONNECTIONS, \"instances\": [${instances%,}]},"
    n=$((n + 1))
  done
  echo "[${out%,}]"
}

poolers_json() {
  local vm out=""
  for vm in $(seq 1 "$VMS"); do
    out+="{\"name\": \"pooler-$vm\", \"vm_number\": $vm, \"data_centre\": \"${CENTRES[$(((vm - 1) % 3))]}\", \"inner\": \"127.0.0.1:$(($(entry_port "$vm") + 2))\"},"
  done
  echo "[${out%,}]"
}

processes_json() {
  local vm out=""
  for vm in $(seq 1 "$VMS"); do
    out+="{\"name\": \"entry-$vm\", \"operators\": \"127.0.0.1:$(($(entry_port "$vm") + 1))\"},"
    out+="{\"name\": \"pooler-$vm\", \"operators\": \"127.0.0.1:$(($(entry_port "$vm") + 3))\"},"
  done
  echo "[${out%,}]"
}

# Writes the settings file of a program (entry or pooler) on a VM.
write_settings() {
  local program=$1 vm=$2 port face operators
  port=$(entry_port "$vm")
  if [ "$program" = entry ]; then
    face="\"callers\": \"127.0.0.1:$port\""
    operators=$((port + 1))
  else
    face="\"inner\": \"127.0.0.1:$((port + 2))\""
    operators=$((port + 3))
  fi
  cat >"$RUN/$program-$vm.json" <<EOF
{
  "process": "$program-$vm",
  "vm_number": $vm,
  "data_centre": "${CENTRES[$(((vm - 1) % 3))]}",
  $face,
  "operators": "127.0.0.1:$operators",
  "store": "$(store_address)",
  "policy": "$POLICY",
  "keys": {"inner": "demo-inner-key-0001", "session": "demo-session-key-0001", "operators": "demo-operator-key-0001"},
  "processes": $(processes_json),
  "poolers": $(poolers_json),
  "databases": $(databases_json)
}
EOF
}

start_vm() {
  start "pooler-$1" "$BIN/baobabport-pooler" --settings "$RUN/pooler-$1.json"
  start "entry-$1" "$BIN/baobabport-entry" --settings "$RUN/entry-$1.json"
}

# Starts the store, the groups and all VMs, and applies a document to each database.
start_site() {
  local document=$1 n=0 name vm
  mkdir -p "$RUN"
  rm -f "$RUN"/*
  start store "$BIN/standin-store" --listen "$(store_address)"
  for name in $DATABASES; do
    # shellcheck disable=SC2086
    start "group-$name" "$BIN/standin-group" --listen "127.0.0.1:$(group_port $n)" --slots "$SLOTS" --connections "$CONNECTIONS" $GROUP_OPTIONS
    n=$((n + 1))
  done
  for vm in $(seq 1 "$VMS"); do
    write_settings entry "$vm"
    write_settings pooler "$vm"
  done
  sleep 0.3
  for name in $DATABASES; do
    sed "s/DATABASE_NAME/$name/" "$document" >"$RUN/$name.document.json"
    "$BIN/baobabport-ctl" apply "$name" "$RUN/$name.document.json" --settings "$RUN/pooler-1.json" --note "first" >>"$RUN/apply.out" || return 1
  done
  for vm in $(seq 1 "$VMS"); do start_vm "$vm"; done
  sleep 0.5
}
