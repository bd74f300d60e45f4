#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library alone, so they are only compiled.
# Run after the deploy file's own build; the project's stand-ins are not used.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
