#!/usr/bin/env bash
# Integration test of guarantee P5 in a region of two VMs: a backend server
# announces its drain only by a header of its own answers, while the one VM that
# uses it is frozen. It must get no new work after 5 s, even when the VM
# resumes.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

# Arguments are the frozen VM and SOURCE:INDEX for each drained server.
cases=(
	"header, the allocator frozen for 6 s|drain_frozen|1 header:5"
)
# Guaranteed time from the start of the drain to the last new work.
drain_ms=5000

drain_header() { # INDEX
	fleet_set_fault "${fleet_stubs[$1]}" "mode=none&drain=1"
}

# Sets no fault; the stub measures last_start_after_fault_ms from here on.
start_stub_clock() { # INDEX
	fleet_set_fault "${fleet_stubs[$1]}" mode=none
}

start_drains() { # SOURCE:INDEX...
	local drain
	for drain in "$@"; do
		proof_expect "server ${drain#*:} got work before the drain" \
			"$(fleet_json_number started "$(fleet_stub_stats \
				"${fleet_stubs[${drain#*:}]}")") > 0"
		start_stub_clock "${drain#*:}"
		"drain_${drain%:*}" "${drain#*:}"
	done
}

# A stub without new work since then reports a number below 0.
expect_drained() { # SOURCE:INDEX...
	local drain last
	for drain in "$@"; do
		last=$(fleet_json_number last_start_after_fault_ms \
			"$(fleet_stub_stats "${fleet_stubs[${drain#*:}]}")")
		proof_expect "${drain%:*}: last new work after $last ms" \
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
