#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
timeout -k 3 115 python3 -B case.py
status=$?
[ "$status" = 0 ] || [ "$status" = 1 ] || exit 2
exit "$status"
