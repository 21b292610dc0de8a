#!/bin/bash
# Measures the failover gap: the longest time between two acknowledged bookings while the primary fails.
set -u
cd "$(dirname "$0")/.." || exit 1
export RUN=build/run-measure VMS=6 BASE=24000 GROUP_OPTIONS="--lag 20 --latency 3"
source demo/site.sh
trap stop_all EXIT
mkdir -p build/measure
RUNS=${RUNS:-20}
start_site examples/lakeshore/document.json || exit 1
entries=()
for vm in $(seq 1 "$VMS"); do entries+=(--entry "127.0.0.1:$(entry_port "$vm")"); done
result=0
echo '{' >build/measure/failover.json

measure_kind() { # name, fault, command that repairs all instances
  local name=$1 fault=$2 repair=$3 n gaps=() gap
  for n in $(seq 1 "$RUNS"); do
    sed -e "s/\"FAULT\"/\"$fault\"/" -e "s/\"REPAIR\"/\"$repair\"/" examples/workloads/lakeshore_failover.json |
      sed -e "s/\"name\": \"booking\"/\"name\": \"booking-$name-$n\"/" >"$RUN/failover.json"
    "$BIN/baobabport-load" "$RUN/failover.json" "${entries[@]}" --group "visits-db-1=127.0.0.1:$(group_port 0)" \
      --quiet --out "$RUN/failover.out" || result=1
    gap=$(sed -n 's/.*"longest_gap_ms": \([0-9.]*\).*/\1/p' "$RUN/failover.out")
    gaps+=("$gap")
    sleep 0.3
  done
  mapfile -t gaps < <(printf '%s\n' "${gaps[@]}" | sort -n)
  printf '%-22s runs %d  gap min %s  median %s  max %s ms\n' "$name" "${#gaps[@]}" "${gaps[0]}" \
    "${gaps[$((${#gaps[@]} / 2))]}" "${gaps[-1]}"
  echo "  \"$name\": [$(IFS=,; echo "${gaps[*]}")]," >>build/measure/failover.json
}

# Former primaries restart as replicas; each run injects the fault at the current primary.
KINDS=${KINDS:-"crash frozen cut_from_replicas"}
[[ $KINDS == *crash* ]] && measure_kind crash '{\\"crash\\": \\"primary\\"}' '{\\"restart_all\\": true}'
[[ $KINDS == *frozen* ]] && measure_kind frozen '{\\"silence\\": {\\"instance\\": \\"primary\\"}}' '{\\"restart_all\\": true}'
[[ $KINDS == *cut_from* ]] && measure_kind cut_from_replicas '{\\"isolate\\": \\"primary\\"}' '{\\"restart_all\\": true}'
echo '  "unit": "ms"' >>build/measure/failover.json
echo '}' >>build/measure/failover.json
[ $result -eq 0 ] && echo "measure-failover: every promise kept" || echo "measure-failover: PROMISES BROKEN"
exit $result
