#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript without dependencies, so that Node.js runs them
# as they are: this only checks that it can read them.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/case.mjs; do
  node --check "$file"
done
