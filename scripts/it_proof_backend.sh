#!/usr/bin/env bash
# Proof of P1 and P2 while backend servers fail: ejection leaves each region at
# least its part of the floor, cut answers are never taken for whole ones, and
# nothing that writes runs twice.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

sick_half="0 1 2 3"
sick_all="0 1 2 3 4 5 6 7"
cases=(
	"answers cut|backend|mode=cut&percent=30 $sick_half"
	"connections reset after the run|backend|mode=reset&percent=30 $sick_half"
	"answers late|backend|mode=slow&factor=200 $sick_half"
	"half of the servers stall|backend|mode=stall $sick_half"
	"all servers fail|backend|mode=error&percent=90 $sick_all"
	"half stall, the allocator is killed|backend_kill|mode=stall $sick_half"
	"all cases together|blocked|"
)

fault_set() { # QUERY STUB_INDEX...
	local query=$1 i
	shift
	for i in "$@"; do
		fleet_set_fault "${fleet_stubs[$i]}" "$query"
	done
}

# Floor parts of both regions of the service "booking", as the VMs see them.
floor_of_regions() {
	fleet_status 0 | tr '{' '\n' | sed -n 's/.*"floor_slots":\([0-9]*\),"backend_servers".*/\1/p' |
		head -2 | sort -n | tail -1
}

# The value of an "eject" line is the healthy capacity that it leaves.
expect_floor() { # FIRST_LINE
	local low
	low=$(fleet_events eject | tail -n "+$1" | grep '"service":"booking"' |
		sed 's/.*"value":\([0-9-]*\).*/\1/' | sort -n | head -1)
	proof_expect "no ejection leaves less than the floor part $floor" \
		"${low:-$floor} >= floor"
}

expect_status() {
	local vm healthy
	for ((vm = 0; vm < proof_vm_count; vm++)); do
		healthy=$(fleet_status "$vm" | tr '{' '\n' |
			sed -n 's/.*"healthy_slots":\([0-9]*\),.*/\1/p' |
			head -2 | sort -n | head -1)
		proof_expect "vm$vm sees $healthy healthy slots" \
			"${healthy:-0} >= floor"
	done
}

fault_backend() { # QUERY STUB_INDEX...
	local before
	before=$(fleet_events eject | wc -l)
	proof_start_load 3 100 --writes 0.5 --keyed 0.5
	sleep 1
	fault_set "$@"
	sleep 2
	expect_status
	proof_end_load
	shift
	fault_set mode=none "$@"
	expect_floor $((before + 1))
}

fault_backend_kill() { # QUERY STUB_INDEX...
	local before vm
	before=$(fleet_events eject | wc -l)
	vm=$(build/currantpaddle status --json --service booking \
		--admin "$(fleet_admin_address 0)" \
		--token-file "$fleet_dir/token" |
		sed -n 's/.*"allocator":"vm\([0-9]*\)".*/\1/p')
	proof_expect "the allocator is known" "${vm:--1} >= 0"
	proof_start_load 3 100 --writes 0.5 --keyed 0.5
	sleep 0.5
	fault_set "$@"
	sleep 1
	proof_signal_vm KILL "${vm:-0}"
	proof_end_load
	proof_restart_vm "${vm:-0}"
	sleep 3
	expect_floor $((before + 1))
	expect_status
}

# Without it, the checks of the floor would say nothing.
fault_blocked() {
	proof_expect "the floor held back an ejection" \
		"$(fleet_events floor_blocked | wc -l) > 0"
}

fleet_deadline_ms=2000
proof_start_fleet "${PROOF_PORT:-25020}" 4 8 4
floor=$(floor_of_regions)
proof_expect "the floor part is known" "${floor:-0} > 0"
proof_run_cases "${cases[@]}"
