#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and on, the project's own among them, into review/build-2-out/. Needs
# no package but those of deploy/system.toml, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build-2-out -G Ninja -DCMAKE_BUILD_TYPE=Release -DLADDERSTREAM_DEPLOY_ONLY=ON \
  -DCMAKE_PROJECT_ladderstream_INCLUDE="$PWD/review/standin-2/hook.cmake" >/dev/null
ninja -C review/build-2-out review_cases_2
