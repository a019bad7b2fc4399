#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 and 7) into target/review-2. Run after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review-2
mkdir -p "$folder"
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2/HttpCall.cpp -o "$folder/fescuegw-review-call"
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/Worker.cpp -o "$folder/fescuegw-review-worker"
