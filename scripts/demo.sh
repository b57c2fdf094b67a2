#!/usr/bin/env bash
# Demonstration with 6 entry VMs and 10 backend servers in two regions. While
# callers send requests, one backend server stalls although its probe succeeds,
# and one entry VM is stopped by an operator. Exits with 0 only if all checks of
# the results pass.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh

vms=6
fleet_floor_percent=50
fleet_deadline_ms=3000
fleet_init "${DEMO_PORT:-17000}"
echo "== starting the platform, 10 backend servers and $vms entry VMs"
fleet_start_platform
fleet_start_backends 8 2
fleet_start_vms $vms
fleet_wait_members "$vms"
echo "== an operator signs and submits a bundle"
fleet_bundle 1 fast 8 2
fleet_submit 1
sleep 2

echo "== callers in four zones send 300 requests/s for 14 s"
"$BUILD_DIR/load" --entry "$(fleet_entry_list)" --zones "$(fleet_join , \
	"${fleet_zones[@]}")" --rate 300 --seconds 14 --writes 0.3 \
	--keyed 0.5 --paths /booking,/booking,/booking,/archive \
	--stubs "$(fleet_stub_list)" >"$fleet_dir/load.txt" &
load=$!
fleet_pids+=("$load")
sleep 3
stalled_stub=${fleet_stubs[1]}
fault_at=$(fleet_now_seconds)
fleet_set_fault "$stalled_stub" "mode=stall"
echo "== backend server s0b01 stalls real work; its probe answers: $(curl -s \
	-m 2 "http://$stalled_stub/health")"
sleep 3
echo "== an operator stops vm5"
"$BUILD_DIR/currantpaddle" stop --admin "$(fleet_admin_address 5)" \
	--token-file "$fleet_dir/token" --vm vm5
if ! wait "$load"; then
	echo "demo: the load tool failed"
	exit 1
fi

count() {
	sed -n "s/^$1 //p" "$fleet_dir/load.txt"
}

failed=0
expect() { # TEXT CONDITION
	if (($2)); then
		echo "   ok      $1"
	else
		echo "   FAILED  $1"
		failed=1
	fi
}

vm_running=1
for _ in $(seq 60); do
	kill -0 "${fleet_pid_of[vm5]}" 2>/dev/null || {
		vm_running=0
		break
	}
	sleep 0.1
done
echo "== results"
for name in sent answered not_run unknown wrong; do
	printf '   %-18s %s\n' "$name" "$(count $name)"
done
eject=$(fleet_events eject | grep '"backend":"s0b01"' | head -1 || true)
if [ -n "$eject" ]; then
	awk -v a="$fault_at" -v b="$(fleet_day_seconds "${eject%% *}")" 'BEGIN {
		printf "   stalled server ejected after %.0f ms\n",
			(b - a) * 1000 }'
fi
false_ejections=$(fleet_events eject | grep -vc '"backend":"s0b01"' || true)
expect "every request has an outcome" \
	"$(count sent) == $(count answered) + $(count not_run) +
		$(count unknown) + $(count wrong) && $(count sent) > 3000"
expect "every answer is complete and the caller's own" "$(count wrong) == 0"
expect "no write ran twice" "$(count double_runs) == 0"
expect "no request reported as not run was run" "$(count false_not_run) == 0"
# A write without an idempotency key that reached the stalled server cannot be
# retried, so its outcome is unknown.
expect "at most 12 unknown outcomes, of writes at the stalled server" \
	"$(count unknown) <= 12"
expect "at least 99 % of the requests are answered" \
	"$(count answered) * 100 >= $(count sent) * 99"
expect "the stalled server is ejected" "${#eject} > 0"
expect "no healthy server is ejected" "$false_ejections == 0"
expect "vm5 has exited" "$vm_running == 0"
# Only the builds of "make tsan" and "make sanitize" write such reports.
expect "no sanitizer report" \
	"$(cat "$fleet_dir"/*.log | grep -c 'Sanitizer\|runtime error') == 0"
if [ "$failed" -ne 0 ]; then
	cat "$fleet_dir/load.txt"
	exit 1
fi
echo "== done"
