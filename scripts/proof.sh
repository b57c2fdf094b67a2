# Functions of the integration tests scripts/it_proof_*.sh, which check the
# guarantees P1 to P7 of a fleet of entry VMs under faults; each script states
# those that it checks. A script passes a table of lines "NAME|FAULT|ARGUMENTS"
# to proof_run_cases, which calls fault_FAULT for each line, all on one fleet.
# That function injects the fault while callers send requests.
#
# Time limits of waits are generous; checks compare with the guaranteed times.
# Sourced after fleet.sh.

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

# Starts a fleet and waits until version 1 of the bundle is in force and all VMs
# answer requests.
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

# Waits until each VM answers requests to both services, that is, all shards
# have an allocator that has granted shares.
proof_wait_traffic() {
	local vm
	for ((vm = 0; vm < proof_vm_count; vm++)); do
		proof_wait_until 20 proof_vm_serves "$vm" || {
			echo "vm$vm does not answer requests to both services"
			return 1
		}
	done
}

# Waits until a command succeeds; fails after SECONDS.
proof_wait_until() { # SECONDS COMMAND...
	local end=$((SECONDS + $1 + 1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.1
	done
}

# Starts the load tool in the background, each time with another seed.
proof_start_load() { # SECONDS RATE OPTION...
	local seconds=$1 rate=$2
	shift 2
	proof_seed=$((proof_seed + 1))
	build/load --entry "$(fleet_entry_list)" \
		--zones "$(fleet_join , "${fleet_zones[@]}")" --rate "$rate" \
		--seconds "$seconds" --seed "$proof_seed" --timeout-ms 5000 \
		--paths /booking,/booking,/archive \
		--stubs "$(fleet_stub_list)" \
		--trace "$fleet_dir/trace$proof_seed.txt" "$@" \
		>"$fleet_dir/load.txt" &
	proof_load_pid=$!
	fleet_pids+=("$proof_load_pid")
}

proof_load_count() { # NAME
	sed -n "s/^$1 //p" "$fleet_dir/load.txt"
}

# Waits for the load tool, sets n_NAME to each of its counts and checks what
# must hold in every case.
proof_end_load() {
	local name
	if ! wait "$proof_load_pid"; then
		proof_expect "the load tool succeeds" 0
		return
	fi
	for name in sent answered not_run unknown wrong double_runs \
		false_not_run false_answers; do
		declare -g "n_$name=$(proof_load_count $name)"
	done
	echo "        $proof_case: seed $proof_seed sent $n_sent answered" \
		"$n_answered not_run $n_not_run unknown $n_unknown"
	proof_expect "each request has exactly one outcome" \
		"n_sent == n_answered + n_not_run + n_unknown + n_wrong"
	proof_expect "every answer is complete and the caller's own" \
		"n_wrong == 0"
	proof_expect "no request reported as not run was run" \
		"n_false_not_run == 0"
	proof_expect "no write ran twice" "n_double_runs == 0"
	proof_expect "no request was answered without being run" \
		"n_false_answers == 0"
}

proof_signal_vm() { # SIGNAL VM_INDEX
	kill "-$1" "${fleet_pid_of[vm$2]}"
	[ "$1" != KILL ] || wait "${fleet_pid_of[vm$2]}" 2>/dev/null || true
}

# Starts a VM again and waits until it answers requests.
proof_restart_vm() { # VM_INDEX
	fleet_start_vm "$1"
	proof_wait_until 20 proof_vm_serves "$1"
}

# Whether a VM answers requests to both services.
proof_vm_serves() { # VM_INDEX
	local path host
	host=$(fleet_vm_host "$1")
	for path in booking archive; do
		[ "$(curl -s -m 5 -o "$fleet_dir/body" -w '%{http_code}' \
			"http://$host:$fleet_caller_port/$path")" = 200 ] ||
			return 1
	done
}

# Whether a version of the bundle is in force on all of these VMs.
proof_bundle_version_is() { # VERSION VM_INDEX...
	local version=$1 vm
	shift
	for vm in "$@"; do
		fleet_status "$vm" 2>/dev/null |
			grep -q "\"bundle_version\":$version,\"requests\"" ||
			return 1
	done
}

# Runs each line of a table; PROOF_CASES, a glob pattern, selects names.
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
