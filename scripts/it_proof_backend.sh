#!/usr/bin/env bash
# Integration test of guarantees P1 and P2 while backend servers fail: ejection
# leaves each region at least its share of the floor, truncated answers are
# never taken for complete ones, and no write runs twice.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

half="0 1 2 3"
all_servers="0 1 2 3 4 5 6 7"
cases=(
	"answers cut|backend|mode=cut&percent=30 $half"
	"connections reset after the run|backend|mode=reset&percent=30 $half"
	"answers late|backend|mode=slow&factor=200 $half"
	"half of the servers stall|backend|mode=stall $half"
	"all servers fail|backend|mode=error&percent=90 $all_servers"
	"half stall, the allocator is killed|backend_kill|mode=stall $half"
	"all cases together|blocked|"
)

set_faults() { # QUERY STUB_INDEX...
	local query=$1 i
	shift
	for i in "$@"; do
		fleet_set_fault "${fleet_stubs[$i]}" "$query"
	done
}

# Larger share of the floor of the two regions of the service "booking", as
# reported by vm0.
largest_region_floor() {
	fleet_status 0 | tr '{' '\n' |
		sed -n 's/.*"floor_slots":\([0-9]*\),"backend_servers".*/\1/p' |
		head -2 | sort -n | tail -1
}

# The value of an "eject" line is the healthy capacity left after the ejection.
expect_ejections_keep_floor() { # FIRST_LINE
	local lowest
	lowest=$(fleet_events eject | tail -n "+$1" |
		grep '"service":"booking"' |
		sed 's/.*"value":\([0-9-]*\).*/\1/' | sort -n | head -1)
	proof_expect "no ejection leaves less than $floor healthy slots" \
		"${lowest:-$floor} >= floor"
}

expect_healthy_slots() {
	local vm healthy
	for ((vm = 0; vm < proof_vm_count; vm++)); do
		healthy=$(fleet_status "$vm" | tr '{' '\n' |
			sed -n 's/.*"healthy_slots":\([0-9]*\),.*/\1/p' |
			head -2 | sort -n | head -1)
		proof_expect "vm$vm reports $healthy healthy slots" \
			"${healthy:-0} >= floor"
	done
}

fault_backend() { # QUERY STUB_INDEX...
	local before
	before=$(fleet_events eject | wc -l)
	proof_start_load 3 100 --writes 0.5 --keyed 0.5
	sleep 1
	set_faults "$@"
	sleep 2
	expect_healthy_slots
	proof_end_load
	shift
	set_faults mode=none "$@"
	expect_ejections_keep_floor $((before + 1))
}

fault_backend_kill() { # QUERY STUB_INDEX...
	local before vm
	before=$(fleet_events eject | wc -l)
	vm=$(build/currantpaddle status --json --service booking \
		--admin "$(fleet_admin_address 0)" \
		--token-file "$fleet_dir/token" |
		sed -n 's/.*"allocator":"vm\([0-9]*\)".*/\1/p')
	proof_expect "vm0 reports the allocator" "${vm:--1} >= 0"
	proof_start_load 3 100 --writes 0.5 --keyed 0.5
	sleep 0.5
	set_faults "$@"
	sleep 1
	proof_signal_vm KILL "${vm:-0}"
	proof_end_load
	proof_restart_vm "${vm:-0}"
	sleep 3
	expect_ejections_keep_floor $((before + 1))
	expect_healthy_slots
}

# If the floor blocked no ejection, the checks of the floor would prove nothing.
fault_blocked() {
	proof_expect "the floor blocked an ejection" \
		"$(fleet_events floor_blocked | wc -l) > 0"
}

fleet_deadline_ms=2000
proof_start_fleet "${PROOF_PORT:-25020}" 4 8 4
floor=$(largest_region_floor)
proof_expect "vm0 reports the floor" "${floor:-0} > 0"
proof_run_cases "${cases[@]}"
