#!/usr/bin/env bash
# Integration test of guarantees P2, P3 and P4 while entry VMs are killed,
# frozen for 6 s and restarted one after another: no write runs twice, no
# request reported as not run was run, and callers are still answered.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

cases=(
	"VM killed|signal|80 KILL 1"
	"VM frozen for 6 s|freeze|80 2"
	"all VMs replaced one by one|replace|80"
)

fault_signal() { # PERCENT SIGNAL VM_INDEX
	proof_start_load 4 150 --writes 0.5 --keyed 0.5
	sleep 2
	proof_signal_vm "$2" "$3"
	proof_end_load
	proof_expect "at least $1 % of the requests are answered" \
		"n_answered * 100 >= n_sent * $1"
	proof_restart_vm "$3"
}

fault_freeze() { # PERCENT VM_INDEX
	proof_start_load 7 150 --writes 0.5 --keyed 0.5
	sleep 1
	proof_signal_vm STOP "$2"
	sleep 6
	proof_signal_vm CONT "$2"
	proof_end_load
	proof_expect "at least $1 % of the requests are answered" \
		"n_answered * 100 >= n_sent * $1"
	proof_wait_until 20 proof_vm_serves "$2"
}

# Kills and restarts all VMs, each only when the one before answers again.
fault_replace() { # PERCENT
	local vm
	proof_start_load 8 100 --writes 0.5 --keyed 0.5
	for ((vm = 0; vm < proof_vm_count; vm++)); do
		proof_signal_vm KILL "$vm"
		proof_restart_vm "$vm" ||
			proof_expect "vm$vm answers requests again" 0
	done
	proof_end_load
	proof_expect "at least $1 % of the requests are answered" \
		"n_answered * 100 >= n_sent * $1"
}

fleet_deadline_ms=2000
proof_start_fleet "${PROOF_PORT:-25010}" 4 8 4
proof_run_cases "${cases[@]}"
