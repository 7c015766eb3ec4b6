#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs of the standard library, so nothing is compiled: this
# checks that they load. The daemon itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        ast.parse(source.read(), path)
PY
test -x ../target/src/daemon/mimosapierd || echo "note: target/src/daemon/mimosapierd is not built yet" >&2
