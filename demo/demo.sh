#!/bin/bash
# Starts a small site, runs the demonstration on it and stops it.
set -u
cd "$(dirname "$0")/.." || exit 1
RUN=${RUN:-build/run-demo}
source demo/site.sh
trap stop_all EXIT
start_site examples/lakeshore/document.json || { echo "demo: the site did not start"; exit 1; }
"$BIN/demo-walk" --database visits-db-1 --group "127.0.0.1:$(group_port 0)" \
  "127.0.0.1:$(entry_port 1)" "127.0.0.1:$(entry_port 2)" "127.0.0.1:$(entry_port 3)"
result=$?
stop_all
exit $result
