#!/usr/bin/env bash
# Integration test of guarantee P7, and of P2 to P4 in network partitions: an
# accepted bundle is in force on every VM within 7 s and is never replaced by an
# older one. Faults are partitions, a slow or unreachable platform, lost answers
# and concurrent submissions by two operators.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

zone_cut_rules="src=127.10.1.&dst=127.50.2. src=127.10.1.&dst=127.51."
region_cut_rules="src=127.10.&dst=127.51. src=127.11.&dst=127.50."
cases=(
	"answers to the submission lost|rollout|lose_answers"
	"platform slow|rollout|slow"
	"two operators at once|race|"
	"older bundle|older|"
	"zone cut one way|rollout_cut|$zone_cut_rules"
	"link between regions cut|rollout_cut|$region_cut_rules"
	"VM starts while the platform is down|start_down|3"
	"no VM went back|history|"
)
in_force_ms=7000
version=1
all_vms="0 1 2 3"

now_ms() {
	date +%s%3N
}

submit_next_version() { # VM_INDEX
	version=$((version + 1))
	fleet_bundle "$version" fast 8 4
	build/currantpaddle bundle submit \
		--admin "$(fleet_admin_address "$1")" \
		--token-file "$fleet_dir/token" \
		"$fleet_dir/bundle-$version.signed" >"$fleet_dir/submit.txt"
}

# Waits longer than the guaranteed time, so that the real time is printed.
expect_in_force() { # ACCEPTED_MS
	local ms
	# shellcheck disable=SC2086
	proof_wait_until 30 proof_bundle_version_is "$version" $all_vms || true
	ms=$(($(now_ms) - $1))
	proof_expect "version $version is in force everywhere after $ms ms" \
		"ms <= in_force_ms"
}

fault_rollout() { # PLATFORM_MODE
	fleet_set_platform_mode "{\"mode\":\"$1\",\"delay_ms\":400}"
	submit_next_version 1 || proof_expect "the submission is accepted" 0
	expect_in_force "$(now_ms)"
	fleet_set_platform_mode '{"mode":"up"}'
}

fault_race() {
	local code0 code3 codes i
	version=$((version + 1))
	for i in 0 3; do
		fleet_bundle "$version" fast 8 4
		mv "$fleet_dir/bundle-$version.signed" "$fleet_dir/race$i"
		fleet_floor_percent=50
	done
	for i in 0 3; do
		build/currantpaddle bundle submit \
			--admin "$(fleet_admin_address $i)" \
			--token-file "$fleet_dir/token" "$fleet_dir/race$i" \
			>"$fleet_dir/race$i.txt" 2>&1 &
		declare "pid$i=$!"
	done
	code0=0 code3=0
	wait "$pid0" || code0=$?
	wait "$pid3" || code3=$?
	codes="$code0 $code3"
	cat "$fleet_dir/race0.txt" "$fleet_dir/race3.txt"
	proof_expect "one of two submissions is accepted (exit codes $codes)" \
		"(code0 == 0) + (code3 == 0) == 1 && code0 + code3 == 3"
	proof_expect "the other names the conflict and its winner" \
		"$(cat "$fleet_dir"/race?.txt |
			grep -c "conflict: version $version by ops won") == 1"
	expect_in_force "$(now_ms)"
}

fault_older() {
	local vm code
	for vm in $all_vms; do
		code=0
		build/currantpaddle bundle submit \
			--admin "$(fleet_admin_address "$vm")" \
			--token-file "$fleet_dir/token" \
			"$fleet_dir/bundle-1.signed" \
			>"$fleet_dir/older.txt" 2>&1 || code=$?
		proof_expect "vm$vm refuses version 1 (exit code $code)" \
			"code == 3"
	done
	# shellcheck disable=SC2086
	proof_expect "version $version stays in force" \
		"$(proof_bundle_version_is "$version" $all_vms && echo 1 ||
			echo 0)"
}

fault_rollout_cut() { # RULE...
	local rule
	proof_start_load 4 100 --writes 0.5 --keyed 0.5
	for rule in "$@"; do
		fleet_add_proxy_rule "$rule&mode=cut" ||
			proof_expect "the rule $rule is set" 0
	done
	sleep 2
	submit_next_version 1 || proof_expect "the submission is accepted" 0
	expect_in_force "$(now_ms)"
	proof_end_load
	fleet_clear_proxy_rules
	proof_expect "at least 80 % of the requests are answered" \
		"n_answered * 100 >= n_sent * 80"
}

fault_start_down() { # VM_INDEX
	fleet_set_platform_mode '{"mode":"down"}'
	proof_signal_vm KILL "$1"
	fleet_start_vm "$1"
	expect_in_force "$(now_ms)"
	fleet_set_platform_mode '{"mode":"up"}'
}

# Checks the versions in the log of each VM. "serving callers" marks the start
# of a process, which may begin with an older version.
fault_history() {
	local vm
	for vm in $all_vms; do
		proof_expect "versions only rise on vm$vm" "$(grep -ho \
			'version [0-9]* is in force\|serving callers' \
			"$fleet_dir/vm$vm.log" | awk '
			/serving/ { last = 0 }
			/version/ { if ($2 + 0 <= last) bad = 1; last = $2 + 0 }
			END { print !bad }')"
	done
}

fleet_proxied=1
fleet_deadline_ms=3000
proof_start_fleet "${PROOF_PORT:-25050}" 4 8 4
proof_run_cases "${cases[@]}"
