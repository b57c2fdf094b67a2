#!/usr/bin/env bash
# Integration test of an edge VM against crowds of callers that send too much or
# never finish. Guards against a process that such callers end, since it runs
# out of memory or descriptors, or that does not stop or no longer serves others.
#
#   it_hostile_callers.sh [KIND...]
#
# Without arguments it runs all kinds but "pipelined", which
# it_hostile_pipelines.sh runs.
#
# One case after the other, each with processes of its own. Each checks, while
# the crowd stays connected: the process lives; its peak of resident memory and
# its open descriptors are below a bound; an ordinary request gets 200; SIGTERM
# ends it. The crowds (tools/hostile.c) and bounds are fixed: they showed the
# fault on the code without limits.
set -u

# Limits of the VM, in its settings and of its process; the process itself needs
# 6 MB and 20 descriptors.
memory_mb=64
max_descriptors=400
# Bounds that are checked.
max_resident_kb=40960
max_open=320

#     kind            callers
cases="chunks-large    80
       chunks-one-byte 80
       over-announced  80
       over-sent       80
       whole           80
       pieces          80
       large           80
       half-head      300
       pipelined      300
       unread          80
       silent         600"

# Starts VM 1 with the limits. A version that does not know them is started
# without, so that its fault is seen rather than a settings error.
start_limited_edge() {
	local text
	start_edge 1 z0 ra
	kill -KILL "${pid_of[e1]}"
	wait "${pid_of[e1]}" 2>/dev/null
	text=$(cat "$dir/e1.json")
	sed -i "s/^{/{\"memory\": $memory_mb, \"max_descriptors\": $max_descriptors,/" \
		"$dir/e1.json"
	if timeout 1 "$build/currantpaddle" edge --settings "$dir/e1.json" 2>&1 |
		grep -q 'unknown key'; then
		echo "this version knows no limits"
		echo "$text" >"$dir/e1.json"
	fi
	start_process e1 "$build/currantpaddle" edge --settings "$dir/e1.json"
}

cpu_ticks() { # PID
	awk '{print $14 + $15}' "/proc/$1/stat" 2>/dev/null || echo 0
}

# Waits until the process has handled what the crowd has sent, most of which may
# be in the buffers of the sockets.
wait_handled() { # PID
	local n before now
	before=$(cpu_ticks "$1")
	for n in $(seq 60); do
		sleep 0.5
		now=$(cpu_ticks "$1")
		[ $((${now:-0} - ${before:-0})) -lt 10 ] && break
		before=$now
	done
}

at_most() { # ACTUAL BOUND
	[ "$1" -le "$2" ] && echo "at most $2" || echo "$1"
}

run_case() { # KIND CALLERS PORT
	local kind=$1 callers=$2 n pid open resident
	EDGE_PORT=$3
	. scripts/edge.sh
	max_body_bytes=4000000
	# Longer than the case: the crowd's requests do not end by themselves.
	route_timeout=60000ms
	ulimit -S -n "$max_descriptors"
	start_process store "$build/rowsd" "$store"
	for n in $(seq $server_count); do
		start_server "$n"
	done
	sleep 0.5
	put_config 3 safe unsafe upload
	for n in $(seq $server_count); do
		put_server "$n" ready
	done
	start_limited_edge
	wait_ready 1
	pid=${pid_of[e1]}
	ulimit -S -n 1024
	start_process crowd "$build/hostile" "$kind" "$callers" \
		"127.21.2.1:$port"
	for n in $(seq 300); do
		grep -q settled "$dir/crowd.log" && break
		sleep 0.1
	done
	check "$kind: the crowd has sent what it can" \
		"$(grep -c settled "$dir/crowd.log")" 1
	wait_handled "$pid"
	resident=$(awk '/VmHWM/ {print $2}' "/proc/$pid/status" 2>/dev/null)
	open=$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)
	echo "$kind: $callers callers, resident peak ${resident:-none} kB," \
		"$open descriptors"
	check "$kind: resident peak in kB" \
		"$(at_most "${resident:-999999999}" $max_resident_kb)" \
		"at most $max_resident_kb"
	check "$kind: open descriptors" "$(at_most "$open" $max_open)" \
		"at most $max_open"
	# Refusals are repeated, as callers do.
	for n in $(seq 20); do
		send_request 1 /safe/x
		[ "$status" = 200 ] && break
		sleep 0.5
	done
	check "$kind: an ordinary request" "$status" 200
	check "$kind: the crowd is connected" \
		"$(kill -0 "${pid_of[crowd]}" 2>&1 && echo yes)" yes
	check "$kind: the process lives" \
		"$(kill -0 "$pid" 2>&1 && echo yes)" yes
	kill -TERM "$pid"
	for n in $(seq 200); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	check "$kind: SIGTERM ends it" \
		"$(kill -0 "$pid" 2>/dev/null || echo ended)" ended
	wait "$pid"
	check "$kind: exit code" $? 0
	exit $failed
}

any_failed=0
case_port=21900
while read -r kind callers; do
	case_port=$((case_port + 10))
	if [ $# -gt 0 ] && [[ " $* " != *" $kind "* ]]; then
		continue
	fi
	[ $# = 0 ] && [ "$kind" = pipelined ] && continue
	(run_case "$kind" "$callers" $case_port </dev/null) || any_failed=1
done <<<"$cases"
exit $any_failed
