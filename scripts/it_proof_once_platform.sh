#!/usr/bin/env bash
# Integration test of guarantees P2, P3 and P4 while the platform fails: no
# write with an idempotency key runs twice, no request reported as not run was
# run, and callers are still answered.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

cases=(
	"platform down|platform|90 down"
	"platform slow|platform|90 slow"
	"answers of claims lost|platform|90 lose_answers"
	"platform down, then a VM killed|platform_kill|80 down"
	"answers of claims lost, then a VM killed|platform_kill|80 lose_answers"
)

fault_platform() { # PERCENT MODE
	proof_start_load 3 150 --writes 0.6 --keyed 0.8
	sleep 1
	fleet_set_platform_mode "{\"mode\":\"$2\",\"delay_ms\":400}"
	proof_end_load
	fleet_set_platform_mode '{"mode":"up"}'
	proof_expect "at least $1 % of the requests are answered" \
		"n_answered * 100 >= n_sent * $1"
}

fault_platform_kill() { # PERCENT MODE
	proof_start_load 3 150 --writes 0.6 --keyed 0.8
	sleep 1
	fleet_set_platform_mode "{\"mode\":\"$2\"}"
	sleep 0.5
	proof_signal_vm KILL 1
	proof_end_load
	fleet_set_platform_mode '{"mode":"up"}'
	proof_expect "at least $1 % of the requests are answered" \
		"n_answered * 100 >= n_sent * $1"
	proof_restart_vm 1
}

fleet_deadline_ms=3000
proof_start_fleet "${PROOF_PORT:-25000}" 6 8 4
proof_run_cases "${cases[@]}"
