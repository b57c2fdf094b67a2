#!/usr/bin/env bash
# Integration test of edge VMs with real processes: three of them in two
# regions, four backend servers and a stand-in of the users' store. Each step
# names the failure that it guards against.
set -u
. scripts/edge.sh

fleet
put servers i-foreign '{"address": 17'

echo "# a kind of request that is not served, or a body that is changed"
head -c 200000 /dev/urandom >"$dir/upload"
for vm in 1 2 3; do
	ask $vm /safe/x
	check "safe at VM $vm" "$status" 200
	ask $vm /unsafe/x -d booking
	check "unsafe at VM $vm" "$status $(cat "$dir/body")" "200 booking"
	ask $vm /upload/x --data-binary "@$dir/upload" -H 'Expect:'
	check "upload at VM $vm" "$status $(cmp "$dir/upload" "$dir/body" &&
		echo same)" "200 same"
	ask $vm /none/x
	check "no route at VM $vm" "$status" 404
done

echo "# addresses that callers cannot use"
answer=$(curl -s -m 2 "http://127.21.2.3:$((port + 2))/resolve?name=h.example&region=ra&zone=z1")
check "addresses of the caller's zone" \
	"$(grep -o '127.21.2.[0-9]*' <<<"$answer")" 127.21.2.2

echo "# store calls that grow with the number of VMs"
before=$(reads)
sleep 4
check "store calls in 4 s at rest" \
	"$([ $(($(reads) - before)) -le 40 ] && echo at most 40)" "at most 40"

echo "# a configuration that is not in force in time"
config 9 safe unsafe upload safe-new
sleep 2
for vm in 1 2 3; do
	ask $vm /safe-new/x
	check "new route at VM $vm after 2 s" "$status" 200
done
put op config '{"version": "r10", "listeners": 5}'
sleep 2
ask 1 /safe-new/x
check "a damaged configuration changes nothing" "$status" 200
echo "# an answer of the store that is larger than a VM takes"
put op config "{\"version\": \"r10\", \"pad\": \"$(head -c 5000000 /dev/zero |
	tr '\0' x)\"}"
sleep 2
check "a line names the call and what is wrong" \
	"$(cat "$dir"/e?.log | grep -c '"table":"op","error":"invalid"' |
		sed 's/[1-9][0-9]*/some/')" some
ask 1 /safe-new/x
check "the last good state is kept" "$status" 200
config 11 safe unsafe upload safe-new

echo "# work that runs twice, and a false report that it did not run"
fault reset 1 2 3 4
ask 1 /unsafe/x -d booking
check "unsafe after a reset is not reported as not run" "$status" 502
check "it ran once" "$(runs q$request_id)" 1
fault shed 1 2 3 4
ask 1 /unsafe/x -d booking
check "unsafe without room is refused" "$status" 503
check "it did not run" "$(runs q$request_id)" 0
check "with the time to come back" \
	"$(grep -ci '^retry-after: 0\.' "$dir/head")" 1
fault none 1 2 3 4
sleep 4

echo "# answers that belong to another request or are not whole"
fault stray 1 2 3 4
ask 1 /unsafe/x -d mine
check "a stray answer is skipped" "$status $(cat "$dir/body")" "200 mine"
fault unsigned 1 2 3 4
ask 1 /unsafe/x -d mine
check "an answer without proof is no success" "$status" 502
fault none 1 2 3 4
sleep 4
fault cut 1 2 3 4
ask 2 /unsafe/x -d mine
check "a cut answer is no success" "$status" 502
fault none 1 2 3 4
sleep 4

echo "# a read that waits for a server which has stalled"
fault hang 1
for n in 1 2 3; do
	ask 1 /safe/x
	check "read $n while the nearest server hangs" "$status" 200
done
ask 1 /unsafe/x -d booking
check "a booking is not sent twice" "$(runs q$request_id)" 1
fault none 1 2 3 4
sleep 4

echo "# a slow read that is given up although no other server can take it"
for n in 2 3 4; do
	server_row $n draining
done
sleep 2
fault slow 1
ask 1 /safe/x
check "a read at the only server, which is slow" "$status" 200
fault none 1
for n in 2 3 4; do
	server_row $n ready
done
sleep 4

echo "# a server that gets work after it said that it leaves"
server_row 3 draining
sleep 2
before=$(curl -s "http://127.21.1.3:$port/stub/runs" | wc -l)
for n in $(seq 20); do
	ask 2 /safe/x
done
check "work of a draining server" \
	"$(curl -s "http://127.21.1.3:$port/stub/runs" | wc -l)" "$before"
server_row 3 ready

echo "# an outage of the store that stops service"
control '{"mode": "down"}'
sleep 1
for vm in 1 2 3; do
	ask $vm /unsafe/x -d booking
	check "store away: served at VM $vm" "$status" 200
done
kill -KILL "${pid_of[e1]}"
sleep 0.2
edge 1 z0 ra
wait_ready 1
ask 1 /safe/x
check "store away: a VM that starts learns from another" "$status" 200
for n in 1 2 3; do
	kill -KILL "${pid_of[e$n]}"
done
sleep 0.2
edges
sleep 1
ask 1 /unsafe/x -d booking
check "all VMs lost and the store away: refused as not run" "$status" 503
check "not ready without a configuration" "$(ready 1)" 503
control '{"mode": "up"}'
wait_ready 1 2 3
for vm in 1 2 3; do
	ask $vm /unsafe/x -d booking
	check "store back: served at VM $vm" "$status" 200
done

echo "# requests that are refused because their VM has just started"
for n in 1 2 3; do
	kill -KILL "${pid_of[e$n]}"
done
sleep 0.2
edges
for n in $(seq 100); do
	ask 1 /unsafe/x -d booking
	[ "$status" != 000 ] && break
	sleep 0.01
done
check "first request after a loss of all VMs" "$status" 200
wait_ready 1 2 3

echo "# a process that a change of its settings ends while it starts"
kill -KILL "${pid_of[e1]}"
mv "$dir/e1.json" "$dir/e1.settings"
mkfifo "$dir/e1.json"
start e1 "$build/currantpaddle" edge --settings "$dir/e1.json"
sleep 0.3
kill -HUP "${pid_of[e1]}"
timeout 5 bash -c "cat $dir/e1.settings >$dir/e1.json"
wait_ready 1
rm "$dir/e1.json"

echo "# a store that refuses some VMs, loses answers or its history"
control '{"mode": "busy", "clients": ["127.21.2.1", "127.0.0.1"]}'
config 12 safe unsafe upload safe-late
control '{"mode": "lose"}'
sleep 1
control '{"mode": "up", "forget": true}'
sleep 3
for vm in 1 2 3; do
	ask $vm /safe/x
	check "history gone: served at VM $vm" "$status" 200
done

echo "# a planned stop that cuts requests or keeps callers"
: >"$dir/cut"
for n in $(seq 8); do
	(for i in 1 2 3 4 5; do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' \
			-H 'Host: h.example' -H "Request-Id: stop$n-$i" \
			-H 'Deadline-Ms: 5000' -d x \
			"http://127.21.2.2:$port/unsafe/x" >>"$dir/cut"
	done) &
	loads+=($!)
done
sleep 0.05
kill -TERM "${pid_of[e2]}"
sleep 0.3
check "leaving: not ready" "$(ready 2)" 503
wait "${loads[@]}"
check "answers during a stop" "$(sort -u "$dir/cut" | xargs)" 200
wait "${pid_of[e2]}"
check "exit of a stopped VM" $? 0

exit $failed
