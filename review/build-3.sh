#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 below target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target/review-3 --target review-driver
