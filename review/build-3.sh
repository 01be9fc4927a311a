#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/$name" "$source"
done
