#!/usr/bin/env bash
# Short runs of the fault soak with seeds that failed before;
# scripts/soak_many.sh runs many seeds.
set -u
cd "$(dirname "$0")/.."
failed=0
fault_s=8
# Seed, and the failure that it found.
cases=(
	"5 SIGHUP ended a VM that had not yet installed its signal handlers"
)
for case in "${cases[@]}"; do
	echo "# ${case#* }"
	EDGE_PORT=22000 bash scripts/soak.sh "${case%% *}" $fault_s || failed=1
done
exit $failed
