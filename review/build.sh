#!/bin/sh
# Builds the stand-ins of the cases. They are plain programs for Node.js without
# dependencies, so it is enough that each can be parsed.
cd "$(dirname "$0")" || exit 2
for file in lib/*.js [0-9]/run.js; do
  node --check "$file" || exit 1
done
