#!/bin/bash
# Fails if a name of an external interface, listed in docs/OUTER-NAMES.txt, does not occur in the sources.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(mktemp)
trap 'rm -f "$sources"' EXIT
find src standins soak deploy -type f -print -exec cat {} + >"$sources"
missing=0
while IFS= read -r name; do
  if [ -n "$name" ] && ! grep -Fqw -- "$name" "$sources"; then
    echo "outer name is gone: $name"
    missing=1
  fi
done <docs/OUTER-NAMES.txt
[ "$missing" -eq 0 ] && echo "outer names: $(wc -l <docs/OUTER-NAMES.txt) found"
exit "$missing"
