#!/usr/bin/env bash
# Short run of the fault soak, with seeds that once failed; scripts/soak_many.sh
# runs many.
set -u
cd "$(dirname "$0")/.."
failed=0
storm_s=8
# Seed, and what it found.
cases=(
	"5 a hang-up ended a VM that had not installed its signal handlers"
)
for case in "${cases[@]}"; do
	echo "# ${case#* }"
	EDGE_PORT=22000 bash scripts/soak.sh "${case%% *}" $storm_s || failed=1
done
exit $failed
