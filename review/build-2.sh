#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the
# packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -c lib-2/rig.cc -o "$out/rig.o"
for source in {6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra "$source" "$out/rig.o" -pthread \
    -o "$out/case-$(dirname "$source")"
done
