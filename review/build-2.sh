#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are JavaScript that Node.js runs as it is, so
# nothing is compiled; this checks that each file can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js [4-8]/*.js; do
  node --check "$file"
done
