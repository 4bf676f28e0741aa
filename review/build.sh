#!/bin/sh
# Builds what the review's scripts start besides the product. The stand-ins are
# Python programs of the standard library, so that this only compiles them.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.py review/*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
    "$file" || exit 1
done
