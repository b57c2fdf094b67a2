# Functions of the proofs of P1 to P7: each scripts/it_proof_*.sh holds a table
# of lines "name|fault|arguments" that proof_run_cases runs on one fleet. A fault
# is a function fault_NAME that runs while callers send requests. Sourced after
# fleet.sh. Limits of waits are generous; bounds are the stated targets.

proof_failed=0
proof_seed=${PROOF_SEED:-1}
proof_case=start

proof_expect() { # TEXT CONDITION
	if (($2)); then
		echo "ok      $proof_case: $1"
	else
		echo "FAILED  $proof_case: $1 ($2)"
		proof_failed=1
	fi
}

# Starts a fleet with version 1 of the bundle in force everywhere.
proof_start_fleet() { # PORT VMS BOOKING ARCHIVE
	fleet_init "$1"
	proof_vm_count=$2
	fleet_start_platform
	fleet_start_backends "$3" "$4" "$proof_seed"
	[ -z "${fleet_proxied:-}" ] || fleet_start_proxy "$2"
	fleet_start_vms "$2"
	fleet_wait_members "$2"
	fleet_bundle 1 "${fleet_profile:-fast}" "$3" "$4"
	fleet_submit 1 >"$fleet_dir/submit.txt"
	proof_wait_traffic
}

proof_vm_metrics() { # VM_INDEX
	curl -s -m 2 -H "Authorization: Bearer $fleet_token" \
		"http://$(fleet_admin_address "$1")/metrics"
}

# Waits until each VM answers requests to both services: all shards have an
# allocator and shares are granted.
proof_wait_traffic() {
	local vm
	for ((vm = 0; vm < proof_vm_count; vm++)); do
		proof_wait_until 20 proof_vm_serves "$vm" || {
			echo "vm$vm does not serve"
			return 1
		}
	done
}

# Waits until a command succeeds; false after SECONDS.
proof_wait_until() { # SECONDS COMMAND...
	local end=$((SECONDS + $1 + 1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.1
	done
}

# Load in the background; proof_end_load waits and reads its counts.
proof_start_load() { # SECONDS RATE OPTION...
	local seconds=$1 rate=$2
	shift 2
	proof_seed=$((proof_seed + 1))
	build/load --entry "$(fleet_entry_list)" \
		--zones "$(fleet_join , "${fleet_zones[@]}")" --rate "$rate" \
		--seconds "$seconds" --seed "$proof_seed" --timeout-ms 5000 \
		--paths /booking,/booking,/archive --stubs "$(fleet_stub_list)" \
		--trace "$fleet_dir/trace$proof_seed.txt" "$@" \
		>"$fleet_dir/load.txt" &
	proof_load_pid=$!
	fleet_pids+=("$proof_load_pid")
}

proof_load_count() { # NAME
	sed -n "s/^$1 //p" "$fleet_dir/load.txt"
}

# Waits for the load and checks what holds in every case.
proof_end_load() {
	local name
	if ! wait "$proof_load_pid"; then
		proof_expect "the load tool ends" 0
		return
	fi
	for name in sent answered not_run unknown wrong double_runs \
		false_not_run false_answers; do
		declare -g "n_$name=$(proof_load_count $name)"
	done
	echo "        $proof_case: seed $proof_seed sent $n_sent answered" \
		"$n_answered not_run $n_not_run unknown $n_unknown"
	proof_expect "each request has one outcome" \
		"n_sent == n_answered + n_not_run + n_unknown + n_wrong"
	proof_expect "every answer is whole and the caller's own" "n_wrong == 0"
	proof_expect "nothing told as not run was run" "n_false_not_run == 0"
	proof_expect "nothing that writes ran twice" "n_double_runs == 0"
	proof_expect "no answer without a run" "n_false_answers == 0"
}

proof_signal_vm() { # SIGNAL VM_INDEX
	kill "-$1" "${fleet_pid_of[vm$2]}"
	[ "$1" != KILL ] || wait "${fleet_pid_of[vm$2]}" 2>/dev/null || true
}

# Starts a VM again and waits until all see it and it serves.
proof_restart_vm() { # VM_INDEX
	fleet_start_vm "$1"
	proof_wait_until 20 proof_vm_serves "$1"
}

proof_vm_serves() { # VM_INDEX
	local path
	for path in booking archive; do
		[ "$(curl -s -m 5 -o "$fleet_dir/body" -w '%{http_code}' \
			"http://$(fleet_vm_host "$1"):$fleet_caller_port/$path")" \
			= 200 ] || return 1
	done
}

proof_bundle_version_is() { # VERSION VM_INDEX...
	local version=$1 vm
	shift
	for vm in "$@"; do
		fleet_status "$vm" 2>/dev/null |
			grep -q "\"bundle_version\":$version,\"requests\"" ||
			return 1
	done
}

# Runs each line of a table; PROOF_CASES limits it to a pattern of names.
proof_run_cases() { # LINE...
	local line name fault args
	for line in "$@"; do
		IFS='|' read -r name fault args <<<"$line"
		case $name in
		${PROOF_CASES:-*}) ;;
		*) continue ;;
		esac
		proof_case=$name
		# shellcheck disable=SC2086
		"fault_$fault" $args
	done
	if [ "$proof_failed" -ne 0 ]; then
		echo "failed"
		exit 1
	fi
	echo "ok: all cases"
}
