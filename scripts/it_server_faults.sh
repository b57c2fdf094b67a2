#!/usr/bin/env bash
# Integration test of edge VMs before backend servers that leave, ask for a
# pause, or send bytes that are no response; and of requests that are malformed
# or arrive together. The heading of each step names the failure that it guards
# against.
set -u
EDGE_PORT=${EDGE_PORT:-21720}
. scripts/edge.sh

# Most memory that a VM may have used. An idle one takes 3 MB.
max_memory_kb=40000

memory_kb() { # VM ; prints the peak of its resident memory
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pid_of[e$1]}/status"
}

runs_of() { # SERVER ; prints the number of requests that it has run
	curl -s -m 2 "http://127.21.1.$1:$port/stub/runs" | wc -l
}

# Sends bytes to the callers' port of VM 1 and prints the status codes of the
# responses that arrive within some seconds, then "closed" if the VM closed the
# connection.
send_raw() { # SECONDS BYTES(printf format)
	local fd line codes='' end=closed
	exec {fd}<>"/dev/tcp/127.21.2.1/$port"
	printf "$2" >&$fd
	while :; do
		IFS= read -r -t "$1" line <&$fd
		case $? in
		0) [[ $line =~ ^.*HTTP/1.1\ ([0-9]+) ]] &&
			codes+="${BASH_REMATCH[1]} " ;;
		1) break ;;
		*) end=open && break ;;
		esac
	done
	exec {fd}>&-
	echo "$codes$end"
}

start_fleet

echo "# requests to a server that said that it is leaving"
set_fault leaving 1
for n in $(seq 12); do
	send_request 1 /safe/x
done
sleep 0.5
set_fault none 1
put_server 1 ready
sleep 1
before=$(runs_of 1)
for vm in 1 2 3; do
	for n in $(seq 12); do
		send_request $vm /safe/x
	done
done
check "requests after it said so, at any VM" "$(runs_of 1)" "$before"
kill -KILL "${pid_of[e1]}"
sleep 0.2
start_edge 1 z0 ra
wait_ready 1
for n in $(seq 12); do
	send_request 1 /safe/x
done
check "requests of a VM that started since" "$(runs_of 1)" "$before"
server_start_ms[1]=2
put_server 1 ready
sleep 2
for n in $(seq 12); do
	send_request 1 /safe/x
done
check "requests to its next start" \
	"$([ "$(runs_of 1)" -gt "$before" ] && echo some)" some

echo "# requests to a server that asked for a pause"
set_fault pause 1 2 3 4
deadline_ms=800
for n in $(seq 12); do
	send_request 1 /safe/x
done
check "refused while all servers pause" "$status" 503
set_fault none 1 2 3 4
before=$(($(runs_of 1) + $(runs_of 2) + $(runs_of 3) + $(runs_of 4)))
send_request 1 /unsafe/x -d booking
check "refused at once if it cannot wait" "$status" 503
check "with the time until the first server is back" \
	"$(grep -ciE '^retry-after: [0-9.]+' "$dir/head")" 1
check "it did not run" \
	$(($(runs_of 1) + $(runs_of 2) + $(runs_of 3) + $(runs_of 4))) "$before"
sleep 3.5
unset deadline_ms
send_request 1 /unsafe/x -d booking
check "served after the pause" "$status" 200

echo "# a response that the next caller gets"
for fault in twice twice-bare; do
	set_fault $fault 1 2 3 4
	: >"$dir/answers"
	for n in $(seq 12); do
		send_request 1 /unsafe/x -d "mine-$n"
		[ "$status $(cat "$dir/body")" = "200 mine-$n" ] ||
			echo "$status $(cat "$dir/body")" >>"$dir/answers"
		[ "$(count_runs q$request_id)" = 1 ] ||
			echo "q$request_id ran $(count_runs q$request_id)" \
				>>"$dir/answers"
		[ $((n % 3)) = 0 ] && sleep 0.06
	done
	check "$fault: other answers than the caller's" \
		"$(sort "$dir/answers" | uniq -c | xargs)" ""
	set_fault none 1 2 3 4
	sleep 4
done

echo "# bytes without end that are passed on as complete, or fill the memory"
for fault in head info body chunk other; do
	set_fault "endless-$fault" 1 2 3 4
	started=$(date +%s%N)
	loads=()
	: >"$dir/statuses"
	for n in $(seq 40); do
		curl -s -m 8 -o /dev/null -w '%{http_code} %{exitcode}\n' \
			-H 'Host: h.example' -H "Request-Id: $fault$n" \
			-H 'Deadline-Ms: 1500' -d x --limit-rate 1M \
			"http://127.21.2.1:$port/unsafe/x" \
			>>"$dir/statuses" &
		loads+=($!)
	done
	wait "${loads[@]}"
	check "$fault: complete responses with success" \
		"$(grep -c '^200 0$' "$dir/statuses")" 0
	check "$fault: all ended by the deadline" \
		"$([ $((($(date +%s%N) - started) / 1000000)) -lt 4000 ] &&
			echo yes)" yes
	set_fault none 1 2 3 4
	sleep 4
	send_request 1 /unsafe/x -d mine
	check "$fault: the next request" "$status $(cat "$dir/body")" "200 mine"
done
check "memory within $max_memory_kb KB" \
	"$([ "$(memory_kb 1)" -le $max_memory_kb ] && echo yes ||
		echo "$(memory_kb 1) KB")" yes

echo "# a request that starts although its caller left while the VM was paused"
# Leaves idle connections to servers, on which a request can be sent at once.
loads=()
for n in $(seq 8); do
	curl -s -m 8 -o /dev/null -H 'Host: h.example' \
		-H "Request-Id: warm$n" -d x \
		"http://127.21.2.1:$port/unsafe/x" &
	loads+=($!)
done
wait "${loads[@]}"
kill -STOP "${pid_of[e1]}"
for n in 1 2 3 4 5; do
	exec {fd}<>"/dev/tcp/127.21.2.1/$port"
	printf "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: left$n\r\nContent-Length: 1\r\n\r\nx" >&$fd
	exec {fd}>&-
done
sleep 1
kill -CONT "${pid_of[e1]}"
sleep 1
ran=0
for n in 1 2 3 4 5; do
	ran=$((ran + $(count_runs left$n)))
done
check "such requests that ran" "$ran" 0

echo "# requests in one segment of which the second is not answered"
get='GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: seg%s\r\n\r\n'
check "two requests" "$(send_raw 1 "${get/\%s/1}${get/\%s/2}")" "200 200 open"
check "a refused one first" \
	"$(send_raw 1 "${get/safe/none}${get/\%s/3}")" "404 200 open"

echo "# malformed requests that are waited for, misrouted or misread"
long='GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: raw\r\nDeadline-Ms: %s\r\n\r\n'
while IFS='|' read -r what bytes expected; do
	check "$what" "$(send_raw 1 "$bytes")" "$expected"
done <<CASES
TLS handshake|\x16\x03\x01\x02|400 closed
no method|{"json":1}\n|400 closed
no version|GET /safe/x\r\n|400 closed
dot segments into another route|GET /safe/../unsafe/x HTTP/1.1\r\nHost: h.example\r\n\r\n|400 open
encoded dot segments|GET /safe/%%2e%%2e/unsafe/x HTTP/1.1\r\nHost: h.example\r\n\r\n|400 open
dot segments within the route|GET /safe/a/../x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: dots\r\n\r\n|200 open
negative deadline|${long/\%s/-5}|400 open
deadline of 20 digits|${long/\%s/99999999999999999999}|200 open
CASES
send_request 1 /safe/x -I
check "HEAD has no Content-Length of its own" \
	"$status $(grep -ci '^content-length: 0' "$dir/head")" "200 0"

exit $failed
