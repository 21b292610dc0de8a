#!/bin/bash
# Measures the time until an accepted document change is active at all poolers and entries of its database.
set -u
cd "$(dirname "$0")/.." || exit 1
export RUN=build/run-document VMS=6 BASE=28000
source demo/site.sh
trap stop_all EXIT
mkdir -p build/measure
RUNS=${RUNS:-20}
start_site examples/lakeshore/document.json || exit 1
entries=()
for vm in $(seq 1 "$VMS"); do entries+=(--entry "127.0.0.1:$(entry_port "$vm")"); done
cat >"$RUN/trickle.json" <<'EOF'
{"duration_ms": 600000, "streams": [{"name": "trickle", "class": "visit", "statement": "select", "databases": ["visits-db-1"], "rate": 60, "keys": 50}]}
EOF
"$BIN/baobabport-load" "$RUN/trickle.json" "${entries[@]}" --quiet &
load=$!
sleep 1.5
settings="$RUN/pooler-1.json"
times=()
result=0
for n in $(seq 1 "$RUNS"); do
  if [ "$n" -eq $((RUNS / 2)) ]; then
    # One VM is restarted halfway through the changes.
    kill "$(cat "$RUN/pooler-2.pid")" "$(cat "$RUN/entry-2.pid")" 2>/dev/null
    sleep 0.6
    start_vm 2
    sleep 0.5
  fi
  sed "s/\"ageing_ms\": 500/\"ageing_ms\": $((500 + n))/" "$RUN/visits-db-1.document.json" >"$RUN/next.json"
  revision=$("$BIN/baobabport-ctl" apply visits-db-1 "$RUN/next.json" --settings "$settings" | sed -n 's/.*revision \([0-9]*\).*/\1/p')
  began=$(date +%s%N)
  while true; do
    at=$("$BIN/baobabport-ctl" status --json --settings "$settings" | awk '/"visits-db-1"/{on=1} on && /"revisions"/{r=1} r && /"(entry|pooler)-/{print} r && /}/{exit}' | grep -c ": $revision")
    [ "$at" -ge 7 ] && break
    [ $(($(date +%s%N) - began)) -gt 5000000000 ] && { result=1; break; }
  done
  times+=($((($(date +%s%N) - began) / 1000000)))
done
kill $load 2>/dev/null
wait $load 2>/dev/null
calls=$("$BIN/baobabport-ctl" state pooler-1 --settings "$settings" | sed -n 's/.*"calls": \([0-9]*\).*/\1/p')
mapfile -t times < <(printf '%s\n' "${times[@]}" | sort -n)
echo "in force at the home and 6 entries: min ${times[0]} median ${times[$((${#times[@]} / 2))]} max ${times[-1]} ms over ${#times[@]} changes; store calls of pooler-1: $calls"
echo "{\"in_force_ms\": [$(IFS=,; echo "${times[*]}")], \"store_calls_of_one_pooler\": $calls}" >build/measure/document.json
[ $result -eq 0 ] && echo "measure-document: every change in force within 5 s" || echo "measure-document: A CHANGE WAS NOT IN FORCE"
exit $result
