#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    c++ -std=c++20 -O2 -Wall -Wextra -c "$source" -o "target/review/$(basename "$source" .cpp).o" &
done
wait
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    c++ -std=c++20 -O2 -Wall -Wextra -Ireview/standins "$case" target/review/{http,cell,minion}.o -o "target/review/case-$number" -pthread
done
