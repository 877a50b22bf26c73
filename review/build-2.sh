#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file, and without
# a network. The stand-ins are Python: the store of the project (standins/), and the replicas and
# clients of review/lab2. They need nothing beside target/deps; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
PYTHONPATH="target/deps:." python3 -m compileall -q standins review/lab2 \
    review/6/case.py review/7/case.py review/8/case.py review/9/case.py
PYTHONPATH="target/deps:review/lab2" python3 -c "import lab2"
echo "the stand-ins of the second review are ready"
