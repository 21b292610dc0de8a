#!/bin/bash
# The stand-ins of the scripts are in Python 3 and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/loopback_site.py [0-9]/case.py <<'END'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
END
echo "stand-ins: ready"
