#!/usr/bin/env bash
# A variant of review/2: the hosts that read the store's latest state are killed, then a
# key is dropped, an upstream drained and a failure domain evacuated. TROUBLE=0 leaves the
# kill out.
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../../.." || exit 2
if [ ! -x target/catkinspring ] || [ ! -x review/bin/rig ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec review/bin/rig withdraw "$folder"
