#!/usr/bin/env bash
# Integration test of edge VMs with real processes: three of them in two
# regions, four backend servers and a simulated store. The heading of each step
# names the failure that it guards against.
set -u
. scripts/edge.sh

start_fleet
put_row servers i-foreign '{"address": 17'

echo "# a kind of request that is not served, or a body that is modified"
head -c 200000 /dev/urandom >"$dir/upload"
for vm in 1 2 3; do
	send_request $vm /safe/x
	check "safe at VM $vm" "$status" 200
	send_request $vm /unsafe/x -d booking
	check "unsafe at VM $vm" "$status $(cat "$dir/body")" "200 booking"
	send_request $vm /upload/x --data-binary "@$dir/upload" -H 'Expect:'
	check "upload at VM $vm" "$status $(cmp "$dir/upload" "$dir/body" &&
		echo same)" "200 same"
	send_request $vm /none/x
	check "no route at VM $vm" "$status" 404
done

echo "# addresses that callers cannot use"
addresses=$(curl -s -m 2 "http://127.21.2.3:$((port + 2))/resolve?name=h.example&region=ra&zone=z1")
check "addresses of the caller's zone" \
	"$(grep -o '127.21.2.[0-9]*' <<<"$addresses")" 127.21.2.2

echo "# store calls that grow with the number of VMs"
before=$(store_reads)
sleep 4
check "store calls in 4 s at rest" \
	"$([ $(($(store_reads) - before)) -le 40 ] && echo at most 40)" "at most 40"

echo "# a configuration that does not take effect in time"
put_config 9 safe unsafe upload safe-new
sleep 2
for vm in 1 2 3; do
	send_request $vm /safe-new/x
	check "new route at VM $vm after 2 s" "$status" 200
done
put_row op config '{"version": "r10", "listeners": 5}'
sleep 2
send_request 1 /safe-new/x
check "a malformed configuration changes nothing" "$status" 200
echo "# a response of the store above the size limit of a VM"
put_row op config "{\"version\": \"r10\", \"pad\": \"$(head -c 5000000 /dev/zero |
	tr '\0' x)\"}"
sleep 2
check "a log line names the call and its error" \
	"$(cat "$dir"/e?.log | grep -c '"table":"op","error":"invalid"' |
		sed 's/[1-9][0-9]*/some/')" some
send_request 1 /safe-new/x
check "the last valid configuration is kept" "$status" 200
put_config 11 safe unsafe upload safe-new

echo "# a request that runs twice, or is falsely reported as not run"
set_fault reset 1 2 3 4
send_request 1 /unsafe/x -d booking
check "unsafe after a reset is not reported as not run" "$status" 502
check "it ran once" "$(count_runs q$request_id)" 1
set_fault shed 1 2 3 4
send_request 1 /unsafe/x -d booking
check "unsafe while all servers are at capacity is refused" "$status" 503
check "it did not run" "$(count_runs q$request_id)" 0
check "the refusal has a Retry-After field" \
	"$(grep -ci '^retry-after: 0\.' "$dir/head")" 1
set_fault none 1 2 3 4
sleep 4

echo "# responses that belong to another request or are truncated"
set_fault stray 1 2 3 4
send_request 1 /unsafe/x -d mine
check "a response to another request is discarded" \
	"$status $(cat "$dir/body")" "200 mine"
set_fault unsigned 1 2 3 4
send_request 1 /unsafe/x -d mine
check "a response without a signature is not forwarded as a success" "$status" 502
set_fault none 1 2 3 4
sleep 4
set_fault cut 1 2 3 4
send_request 2 /unsafe/x -d mine
check "a truncated response is not forwarded as a success" "$status" 502
set_fault none 1 2 3 4
sleep 4

echo "# a safe request that waits for a stalled server"
set_fault hang 1
for n in 1 2 3; do
	send_request 1 /safe/x
	check "safe request $n while the nearest server hangs" "$status" 200
done
send_request 1 /unsafe/x -d booking
check "an unsafe request is not sent twice" "$(count_runs q$request_id)" 1
set_fault none 1 2 3 4
sleep 4

echo "# a slow safe request given up although no other server can take it"
for n in 2 3 4; do
	put_server $n draining
done
sleep 2
set_fault slow 1
send_request 1 /safe/x
check "safe request at the only server, which is slow" "$status" 200
set_fault none 1
for n in 2 3 4; do
	put_server $n ready
done
sleep 4

echo "# a server that gets requests while it drains"
put_server 3 draining
sleep 2
before=$(curl -s "http://127.21.1.3:$port/stub/runs" | wc -l)
for n in $(seq 20); do
	send_request 2 /safe/x
done
check "requests to a draining server" \
	"$(curl -s "http://127.21.1.3:$port/stub/runs" | wc -l)" "$before"
put_server 3 ready

echo "# an outage of the store that interrupts service"
control_store '{"mode": "down"}'
sleep 1
for vm in 1 2 3; do
	send_request $vm /unsafe/x -d booking
	check "store down: served at VM $vm" "$status" 200
done
kill -KILL "${pid_of[e1]}"
sleep 0.2
start_edge 1 z0 ra
wait_ready 1
send_request 1 /safe/x
check "store down: a starting VM gets its state from another one" "$status" 200
for n in 1 2 3; do
	kill -KILL "${pid_of[e$n]}"
done
sleep 0.2
start_edges
sleep 1
send_request 1 /unsafe/x -d booking
check "all VMs restarted and store down: refused as not run" "$status" 503
check "not ready without a configuration" "$(readiness 1)" 503
control_store '{"mode": "up"}'
wait_ready 1 2 3
for vm in 1 2 3; do
	send_request $vm /unsafe/x -d booking
	check "store up again: served at VM $vm" "$status" 200
done

echo "# requests that are refused because their VM has just started"
for n in 1 2 3; do
	kill -KILL "${pid_of[e$n]}"
done
sleep 0.2
start_edges
for n in $(seq 100); do
	send_request 1 /unsafe/x -d booking
	[ "$status" != 000 ] && break
	sleep 0.01
done
check "first request after a restart of all VMs" "$status" 200
wait_ready 1 2 3

echo "# a starting process that SIGHUP ends"
kill -KILL "${pid_of[e1]}"
mv "$dir/e1.json" "$dir/e1.settings"
mkfifo "$dir/e1.json"
start_process e1 "$build/currantpaddle" edge --settings "$dir/e1.json"
sleep 0.3
kill -HUP "${pid_of[e1]}"
timeout 5 bash -c "cat $dir/e1.settings >$dir/e1.json"
wait_ready 1
rm "$dir/e1.json"

echo "# a store that refuses some VMs, or loses responses or its history of changes"
control_store '{"mode": "busy", "clients": ["127.21.2.1", "127.0.0.1"]}'
put_config 12 safe unsafe upload safe-late
control_store '{"mode": "lose"}'
sleep 1
control_store '{"mode": "up", "forget": true}'
sleep 3
for vm in 1 2 3; do
	send_request $vm /safe/x
	check "history of changes lost: served at VM $vm" "$status" 200
done

echo "# a planned stop that fails requests, or during which the VM stays ready"
: >"$dir/statuses"
for n in $(seq 8); do
	(for i in 1 2 3 4 5; do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' \
			-H 'Host: h.example' -H "Request-Id: stop$n-$i" \
			-H 'Deadline-Ms: 5000' -d x \
			"http://127.21.2.2:$port/unsafe/x" >>"$dir/statuses"
	done) &
	loads+=($!)
done
sleep 0.05
kill -TERM "${pid_of[e2]}"
sleep 0.3
check "stopping: not ready" "$(readiness 2)" 503
wait "${loads[@]}"
check "responses during a stop" "$(sort -u "$dir/statuses" | xargs)" 200
wait "${pid_of[e2]}"
check "exit code of a stopped VM" $? 0

exit $failed
