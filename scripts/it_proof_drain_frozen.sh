#!/usr/bin/env bash
# Proof of P5 in a region of two VMs: a backend server that says only by its own
# header that it leaves, while the one VM that uses it is frozen, gets no new
# work after 5 s, also not when the VM wakes.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

# Source and number of the backend server, for each server that leaves.
cases=(
	"header, the allocator frozen for 6 s|drain_frozen|1 header:5"
)
drain_ms=5000

drain_header() { # INDEX
	fleet_set_fault "${fleet_stubs[$1]}" "mode=none&drain=1"
}

# The stub's own clock runs from here.
mark() { # INDEX
	fleet_set_fault "${fleet_stubs[$1]}" mode=none
}

start_drains() { # SOURCE:INDEX...
	local drain
	for drain in "$@"; do
		proof_expect "server ${drain#*:} has work before" \
			"$(fleet_json_number started "$(fleet_stub_stats \
				"${fleet_stubs[${drain#*:}]}")") > 0"
		mark "${drain#*:}"
		"drain_${drain%:*}" "${drain#*:}"
	done
}

expect_drained() { # SOURCE:INDEX...
	local drain last
	for drain in "$@"; do
		last=$(fleet_json_number last_start_after_fault_ms \
			"$(fleet_stub_stats "${fleet_stubs[${drain#*:}]}")")
		proof_expect "${drain%:*}: last work $last ms after the mark" \
			"last <= drain_ms"
	done
}

fault_drain_frozen() { # VM_INDEX SOURCE:INDEX
	local vm=$1
	shift
	proof_start_load 8 150 --writes 0.3 --keyed 0.3
	sleep 1
	proof_signal_vm STOP "$vm"
	start_drains "$@"
	sleep 6
	proof_signal_vm CONT "$vm"
	proof_end_load
	expect_drained "$@"
}

fleet_deadline_ms=3000
fleet_floor_percent=30
proof_start_fleet "${PROOF_PORT:-25060}" 4 8 4
proof_run_cases "${cases[@]}"
