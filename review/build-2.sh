#!/usr/bin/env bash
# Prepares what the scripts of the cases 6 to 10 start. Their stand-ins are plain JavaScript in review/lib-2 and need no
# build, so that only the syntax is checked. The project's program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do node --check "$file"; done
