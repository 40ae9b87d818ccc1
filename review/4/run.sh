#!/usr/bin/env bash
# Exit codes: 1 when the rule was broken, 0 when it held, 2 when the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/ladderstream_node ] && [ -x review/build-2-out/review_cases_2 ] || exit 2
timeout -s KILL 115 review/build-2-out/review_cases_2 reborn_behind_a_cut --trouble="${TROUBLE:-1}" \
  --record=review/4/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
