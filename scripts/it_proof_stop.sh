#!/usr/bin/env bash
# Integration test of guarantee P6: a planned stop of an entry VM cuts no answer
# and no upload in flight. PROOF_STOP=kill sends SIGKILL instead, to verify the
# test itself: the checks must then fail.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
. scripts/proof.sh

# A transfer takes 7 s at this rate, longer than address answers list a stopping
# VM. Its size exceeds the socket buffers on the path.
body_bytes=21000000
rate_bytes_per_s=3000000
cases=(
	"stop by an operator|stop|operator 3 up"
	"SIGTERM while the platform is down|stop|term 1 down"
)

stop_operator() { # VM_INDEX
	build/currantpaddle stop --admin "$(fleet_admin_address "$1")" \
		--token-file "$fleet_dir/token" --vm "vm$1" \
		>"$fleet_dir/stop.txt"
}

stop_term() { # VM_INDEX
	proof_signal_vm TERM "$1"
}

stop_kill() { # VM_INDEX
	proof_signal_vm KILL "$1"
}

archive_url() { # VM_INDEX
	echo "http://$(fleet_vm_host "$1"):$fleet_caller_port/archive"
}

# A slow download and a slow upload; both print "STATUS BYTES".
long_answer() { # VM_INDEX
	curl -s -m 40 --limit-rate "$rate_bytes_per_s" -o "$fleet_dir/answer" \
		-H "X-Load-Id: 1" -w '%{http_code} %{size_download}' \
		"$(archive_url "$1")?size=$body_bytes"
}

long_upload() { # VM_INDEX
	curl -s -m 40 --limit-rate "$rate_bytes_per_s" \
		-o "$fleet_dir/echo" -X POST -T "$fleet_dir/upload" \
		-H "X-Load-Id: 2" -H "Expect:" \
		-w '%{http_code} %{size_upload}' \
		"$(archive_url "$1")"
}

has_ended() { # VM_INDEX
	! kill -0 "${fleet_pid_of[vm$1]}" 2>/dev/null
}

fault_stop() { # METHOD VM_INDEX PLATFORM_MODE
	local vm=$2 answer upload
	fleet_set_platform_mode "{\"mode\":\"$3\"}"
	proof_start_load 8 100 --writes 0.3 --keyed 0.5
	long_answer "$vm" >"$fleet_dir/answer.txt" &
	answer=$!
	long_upload "$vm" >"$fleet_dir/upload.txt" &
	upload=$!
	fleet_pids+=("$answer" "$upload")
	sleep 1
	"stop_${PROOF_STOP:-$1}" "$vm"
	wait "$answer" || true
	wait "$upload" || true
	proof_end_load
	fleet_set_platform_mode '{"mode":"up"}'
	proof_expect "the answer in flight is complete" \
		"$([ "$(cat "$fleet_dir/answer.txt")" = "200 $body_bytes" ] &&
			echo 1 || echo 0)"
	proof_expect "the upload in flight is answered" \
		"$([ "$(cat "$fleet_dir/upload.txt")" = "200 $body_bytes" ] &&
			echo 1 || echo 0)"
	proof_expect "no other request is cut" "n_unknown == 0"
	proof_expect "the VM exits" \
		"$(proof_wait_until 20 has_ended "$vm" && echo 1 || echo 0)"
	proof_restart_vm "$vm"
}

fleet_deadline_ms=4000
proof_start_fleet "${PROOF_PORT:-25040}" 4 6 4
head -c "$body_bytes" /dev/zero >"$fleet_dir/upload"
proof_run_cases "${cases[@]}"
