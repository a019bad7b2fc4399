#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review, from this project's sources and the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
sources=(review/standin/Cluster.cpp review/standin/Record.cpp review/standin/Worker.cpp review/standin/main.cpp
  platform/soak/HttpConnection.cpp fescuegw/relay/Relay.cpp fescuegw/http/Server.cpp fescuegw/http/Client.cpp
  fescuegw/settings/Settings.cpp fescuegw/base/Types.cpp)
objects=()
for it in "${sources[@]}"; do
  object=$out/$(echo "$it" | tr / _).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$it" -o "$object" &
done
for job in $(jobs -p); do wait "$job"; done
g++ "${objects[@]}" -o "$out/review-case" -lmicrohttpd -lcurl -lxxhash -linih -lINIReader -lpthread
echo "built $out/review-case"
