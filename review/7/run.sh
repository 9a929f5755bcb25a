#!/usr/bin/env bash
# Plays the case once, in some 40 seconds, and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/lotusward || ! -x target/review-play2 ]]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
trouble=true
[[ "${TROUBLE:-1}" == 0 ]] && trouble=false
exec target/review-play2 -trouble="$trouble" lateorder review/7/record.txt
