#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: the project's own and those of the review. They are
# Python, so they are compiled into a temporary folder to show that they can be; nothing is left.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
caches=$(mktemp -d)
trap 'rm -rf "$caches"' EXIT
PYTHONPYCACHEPREFIX="$caches" python3 -m compileall -q standins review
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 -c "import standins.platform_store, standins.platform_site"
echo "the stand-ins are ready"
