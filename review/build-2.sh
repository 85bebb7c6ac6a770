#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second independent review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -pthread -o target/review-2/testbed review/standins-2/*.cpp
