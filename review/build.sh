#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/. Needs g++ and nlohmann-json3-dev, which are
# among the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standin/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$(basename "${source%.cc}")" "$source" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
