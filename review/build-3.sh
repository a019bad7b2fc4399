#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3. Runs after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/standin-3 review/standin-3/*.cpp -pthread
