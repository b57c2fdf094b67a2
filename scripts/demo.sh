#!/usr/bin/env bash
# Demonstration: 8 backend servers in two regions, one of which stalls while
# its probe answers well, 6 entry VMs, one of which is stopped as planned while
# callers send requests. Ends with 0 only when every count is right.
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
sick=${fleet_stubs[1]}
fault_at=$(fleet_now_seconds)
fleet_set_fault "$sick" "mode=stall"
echo "== backend server s0b01 stalls real work; its probe answers: $(curl -s \
	-m 2 "http://$sick/health")"
sleep 3
echo "== planned stop of vm5"
"$BUILD_DIR/currantpaddle" stop --admin "$(fleet_admin_address 5)" \
	--token-file "$fleet_dir/token" --vm vm5
if ! wait "$load"; then
	echo "the load tool failed"
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

stopped=1
for _ in $(seq 60); do
	kill -0 "${fleet_pid_of[vm5]}" 2>/dev/null || {
		stopped=0
		break
	}
	sleep 0.1
done
echo "== account"
for name in sent answered not_run unknown wrong; do
	printf '   %-18s %s\n' "$name" "$(count $name)"
done
eject=$(fleet_events eject | grep '"backend":"s0b01"' | head -1 || true)
if [ -n "$eject" ]; then
	awk -v a="$fault_at" -v b="$(fleet_day_seconds "${eject%% *}")" 'BEGIN {
		printf "   stalled server out of traffic after %.0f ms\n",
			(b - a) * 1000 }'
fi
wrongly=$(fleet_events eject | grep -vc '"backend":"s0b01"' || true)
expect "every request has an outcome" \
	"$(count sent) == $(count answered) + $(count not_run) + $(count unknown) + $(count wrong) && $(count sent) > 3000"
expect "no answer is wrong or another caller's" "$(count wrong) == 0"
expect "nothing that writes ran twice" "$(count double_runs) == 0"
expect "nothing told as not run was run" "$(count false_not_run) == 0"
# A write without a key that met the stalled server cannot be sent again.
expect "unknown only for work stuck in the stalled server" \
	"$(count unknown) <= 12"
expect "at least 99 in 100 answered" \
	"$(count answered) * 100 >= $(count sent) * 99"
expect "the stalled server left traffic" "${#eject} > 0"
expect "no healthy server left traffic" "$wrongly == 0"
expect "vm5 ended its planned stop" "$stopped == 0"
# Only builds of "make tsan" and "make sanitize" write such reports.
expect "no report of a sanitizer" \
	"$(cat "$fleet_dir"/*.log | grep -c 'Sanitizer\|runtime error') == 0"
if [ "$failed" -ne 0 ]; then
	cat "$fleet_dir/load.txt"
	exit 1
fi
echo "== done"
