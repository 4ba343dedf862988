#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/standin"
out=../../target/review
mkdir -p "$out"
for case in large_upload endless_health; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread site.cpp workload.cpp "$case.cpp" -o "$out/$case"
done
