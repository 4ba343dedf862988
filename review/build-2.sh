#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, from review/standin-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
