#!/bin/sh
# The stand-ins are plain scripts: nothing is compiled. Checks that Node.js can parse each of them.
set -e
cd "$(dirname "$0")"
for file in *.js [1-5]/case.js; do
	node --check "$file"
done
