#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the
# disruption. Needs target/ (the build of deploy/system.toml) and review/build.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$here/../build/surplus_refusals"
[ -x "$program" ] && [ -x "$root/target/bin/ladderstream_node" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
