#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files without dependencies, so it only compiles them, with
# the interpreter that the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
for folder in review/shared_2 review/6 review/7 review/8 review/9 review/10; do
    if [ -d "$folder" ]; then .venv/bin/python -m compileall -q "$folder"; fi
done
