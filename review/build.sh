#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in failing memory reclaim; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "review/standins/$name.cpp" \
    -o "target/review/$name"
done
