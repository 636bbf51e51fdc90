#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the entry. Their stand-ins are plain JavaScript in support-2, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-2/*.js review/{6,7,8,9,10}/*.js; do
	[ ! -e "$file" ] || node --check "$file"
done
[ -f target/entry.mjs ] || { echo 'target/entry.mjs is missing: run the build of deploy/system.toml first' >&2; exit 1; }
