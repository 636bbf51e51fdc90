#!/usr/bin/env bash
# Checks the stand-ins of the cases 11 to 15. They are plain modules without dependencies, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-3/*.js; do
	node --check "$file"
done
