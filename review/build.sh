#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies, so nothing is compiled. Checks that they parse,
# and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/run.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
[ -s ../target/lavenderturn-platform.mjs ] || { echo 'target/lavenderturn-platform.mjs is missing: run the build of deploy/system.toml' >&2; exit 1; }
