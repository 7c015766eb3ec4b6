#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: those of tests/soak and of review/lib-2. They are
# Python programs of the standard library, so that building them is a check that they compile; nothing is written.
# The daemon comes from the build of deploy/system.toml (target/).
set -e
cd "$(dirname "$0")/.."
python3 -B - tests/soak/deployment.py tests/soak/httpd.py tests/soak/link.py tests/soak/runner.py tests/soak/store.py \
    tests/soak/check_twice.py review/lib-2/*.py review/[6-9]/*.py review/10/*.py <<'END'
import os
import sys

if sys.version_info < (3, 10):
    sys.exit("Python 3.10 or later is needed")
for name in sys.argv[1:]:
    if os.path.exists(name):  # a pattern without a match stays as it is
        compile(open(name, encoding="utf-8").read(), name, "exec")
print("stand-ins: ok")
END
