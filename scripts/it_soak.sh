#!/usr/bin/env bash
# Short runs of the fault soak with seeds that failed before;
# scripts/soak_many.sh runs many seeds.
set -u
cd "$(dirname "$0")/.."
failed=0
# Seed, seconds with faults, 1 for the former faults, and what the seed found.
cases=(
	"5 8 1 SIGHUP ended a VM that had not yet installed its signal handlers"
	"1 4 1 a body decoder wrote into another one's: servers got cut bodies"
)
for case in "${cases[@]}"; do
	read -r seed fault_s former cause <<<"$case"
	echo "# $seed: $cause"
	EDGE_PORT=${EDGE_PORT:-22000} SOAK_FORMER_FAULTS=$former \
		bash scripts/soak.sh "$seed" "$fault_s" || failed=1
done
exit $failed
