#!/bin/bash
# Measures CPU time, memory and messages per role while one quantity varies; writes JSON with a linear fit.
set -u
cd "$(dirname "$0")/.." || exit 1
export RUN=build/run-slopes BASE=26000 GROUP_OPTIONS="--lag 20 --latency 1"
source demo/site.sh
trap stop_all EXIT
mkdir -p build/measure
POINTS=build/measure/slopes.points
: >"$POINTS"
HERTZ=$(getconf CLK_TCK)
WINDOW=${WINDOW:-8}

cpu_of() { awk '{print $14 + $15}' "/proc/$(cat "$RUN/$1.pid")/stat"; } # in clock ticks
rss_of() { awk '/VmRSS/{print $2}' "/proc/$(cat "$RUN/$1.pid")/status"; } # kB
dump_of() { "$BIN/baobabport-ctl" state "$1" --settings "$RUN/pooler-1.json"; }
count_of() { # process, field; prints the sum over its homes
  dump_of "$1" | sed -n "s/.*\"$2\": \([0-9]*\).*/\1/p" | awk '{s += $1} END {print s + 0}'
}

# Writes a workload: a low-rate stream for each database and one stream at the given rate.
write_workload() { # duration in ms, rate on the first database
  local first names="" name
  first=${DATABASES%% *}
  for name in $DATABASES; do names+="\"$name\","; done
  local n
  n=$(echo "$DATABASES" | wc -w)
  cat >"$RUN/slopes.json" <<EOF
{"duration_ms": $1, "streams": [
  {"name": "trickle", "class": "visit", "statement": "select", "databases": [${names%,}], "rate": $((n * 4)), "keys": 50},
  {"name": "read", "class": "visit", "statement": "select", "databases": ["$first"], "rate": $2, "keys": 50},
  {"name": "write", "class": "install_done", "statement": "update", "databases": ["$first"], "rate": $((($2 + 4) / 5)), "keys": 50, "write": true}
]}
EOF
}

point() { # varied quantity, its size, values
  echo "$*" >>"$POINTS"
}

# Runs the load and measures the entry's and the pooler's resource use for WINDOW seconds in the middle of it.
observe() { # varied quantity, its size, more options of the load tool
  local what=$1 size=$2 vm cpu_e cpu_p status_before store_before
  shift 2
  "$BIN/baobabport-load" "$RUN/slopes.json" --entry "127.0.0.1:$(entry_port 1)" --quiet "$@" --out "$RUN/slopes.out" &
  local load=$!
  sleep 3
  cpu_e=$(cpu_of entry-1) cpu_p=$(cpu_of pooler-1)
  status_before=$(count_of pooler-1 status) store_before=$(count_of pooler-1 calls)
  sleep "$WINDOW"
  local e=$(($(cpu_of entry-1) - cpu_e)) p=$(($(cpu_of pooler-1) - cpu_p))
  local status=$(($(count_of pooler-1 status) - status_before)) store=$(($(count_of pooler-1 calls) - store_before))
  point "$what" "$size" "$(awk -v t=$e -v h="$HERTZ" -v w="$WINDOW" 'BEGIN{printf "%.3f", 100*t/h/w}')" \
    "$(rss_of entry-1)" "$(awk -v t=$p -v h="$HERTZ" -v w="$WINDOW" 'BEGIN{printf "%.3f", 100*t/h/w}')" \
    "$(rss_of pooler-1)" "$(awk -v n=$status -v w="$WINDOW" 'BEGIN{printf "%.1f", n/w}')" \
    "$(awk -v n=$store -v w="$WINDOW" 'BEGIN{printf "%.2f", n/w}')"
  kill $load 2>/dev/null
  wait $load 2>/dev/null
}

databases_named() { local out="" i; for i in $(seq 1 "$1"); do out+="db-$i "; done; echo "${out% }"; }

# Varies the number of databases for which one pooler is home.
for n in 2 6 12 20; do
  VMS=1 DATABASES=$(databases_named "$n")
  start_site examples/lakeshore/document.json || exit 1
  write_workload 60000 1
  observe databases "$n"
  stop_all
done

# Varies statements per second and client connections on one site, then the number of VMs.
VMS=1 DATABASES="db-1 db-2"
start_site examples/lakeshore/document.json || exit 1
for rate in 50 150 300 450; do
  write_workload 60000 "$rate"
  observe statements "$rate"
done
for n in 500 1000 2000 4000; do
  write_workload 60000 1
  observe connections "$n" --idle "$n"
done
stop_all
for n in 2 6 12 24; do
  VMS=$n DATABASES="db-1 db-2"
  start_site examples/lakeshore/document.json || exit 1
  write_workload 60000 1
  observe vms "$n"
  stop_all
done

# Fits a least-squares line to each column; the JSON has its base, slope and largest residual.
awk '
{ k = $1; n[k]++; x[k, n[k]] = $2; for (c = 3; c <= 8; c++) y[k, n[k], c] = $c }
END {
  name[3] = "entry_cpu_percent"; name[4] = "entry_rss_kb"; name[5] = "pooler_cpu_percent"; name[6] = "pooler_rss_kb"
  name[7] = "status_messages_per_s"; name[8] = "store_calls_per_s"
  print "{"; sep = ""
  for (k in n) {
    printf "%s  \"%s\": {", sep, k; sep = ",\n"; inner = ""
    for (c = 3; c <= 8; c++) {
      sx = sy = sxx = sxy = 0
      for (i = 1; i <= n[k]; i++) { sx += x[k,i]; sy += y[k,i,c]; sxx += x[k,i]^2; sxy += x[k,i]*y[k,i,c] }
      b = (n[k]*sxy - sx*sy) / (n[k]*sxx - sx*sx); a = (sy - b*sx) / n[k]; worst = 0
      for (i = 1; i <= n[k]; i++) { d = y[k,i,c] - a - b*x[k,i]; if (d < 0) d = -d; if (d > worst) worst = d }
      printf "%s\n    \"%s\": {\"base\": %.4f, \"slope\": %.6f, \"residual\": %.4f, \"at\": [", inner, name[c], a, b, worst
      for (i = 1; i <= n[k]; i++) printf "%s[%d, %s]", (i > 1 ? ", " : ""), x[k,i], y[k,i,c]
      printf "]}"; inner = ","
    }
    printf "\n  }"
  }
  print "\n}"
}' "$POINTS" >build/measure/slopes.json
column -t "$POINTS"
grep -E '"(databases|statements|connections|vms)"|base' build/measure/slopes.json | sed 's/, "at".*//'
echo "measure-slopes: done, build/measure/slopes.json"
