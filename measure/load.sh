#!/bin/bash
# Measures replica share, peak load and head-of-line blocking for the session policy and the plain baseline.
set -u
cd "$(dirname "$0")/.." || exit 1
export RUN=build/run-measure VMS=6 BASE=23000
source demo/site.sh
trap stop_all EXIT
mkdir -p build/measure
result=0

run_workload() { # policy, workload, document, databases...
  local policy=$1 workload=$2 document=$3
  POLICY=$policy
  start_site "$document" || { echo "the site did not start"; exit 1; }
  local args=() vm n=0 name
  for vm in $(seq 1 "$VMS"); do args+=(--entry "127.0.0.1:$(entry_port "$vm")"); done
  for name in $DATABASES; do
    args+=(--group "$name=127.0.0.1:$(group_port $n)")
    n=$((n + 1))
  done
  echo "== $workload, policy $policy"
  "$BIN/baobabport-load" "examples/workloads/$workload.json" "${args[@]}" --out "build/measure/$workload-$policy.json" 2>&1 |
    awk '/^stream/{t=""} {t=t $0 "\n"} END{printf "%s", t}'
  [ "${PIPESTATUS[0]}" -eq 0 ] || result=1
  stop_all
}

for policy in ${POLICIES:-plain session}; do
  DATABASES="visits-db-1 visits-db-2 visits-db-3" CONNECTIONS=16 GROUP_OPTIONS="--lag 50 --latency 3 --sheet 20" \
    run_workload "$policy" lakeshore_crest examples/lakeshore/document.json
  DATABASES="kalib-db-1 kalib-db-2 kalib-db-3" CONNECTIONS=30 GROUP_OPTIONS="--lag 20 --latency 1 --long 100" \
    run_workload "$policy" terazi_stragglers examples/terazi/document.json
done
[ $result -eq 0 ] && echo "measure-load: every promise kept" || echo "measure-load: PROMISES BROKEN"
exit $result
