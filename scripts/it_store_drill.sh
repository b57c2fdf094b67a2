#!/usr/bin/env bash
# Integration test of a store that returns from an older copy, with real
# processes: three edge VMs in two regions, four backend servers and a simulated
# store. It loses an acknowledged configuration, an acknowledged drain and an
# acknowledged removal, one after the other. The heading of each step names the
# failure that it guards against. Conditions are awaited, so that a slow machine
# does not fail the test.
set -u
. scripts/edge.sh

wait_for() { # WHAT EXPECTED COMMAND... ; awaits that output for 20 s and more
	local what=$1 expected=$2 actual i
	shift 2
	for i in $(seq 200); do
		actual=$("$@")
		[ "$actual" = "$expected" ] && break
		sleep 0.1
	done
	check "$what" "$actual" "$expected"
}

vm_status() { # VM
	curl -s -m 5 "http://127.21.2.$1:$((port + 3))/status"
}

# Prints a number of each VM's status, such as its era.
numbers() { # NAME
	local vm
	for vm in 1 2 3; do
		echo "$(vm_status $vm | sed "s/.*\"$1\":\([0-9a-z]*\).*/\1/")"
	done | xargs
}

# Prints the state of a server at each VM; "none" if it is unknown there.
states() { # SERVER
	local vm state
	for vm in 1 2 3; do
		state=$(vm_status $vm | grep -o "\"id\":\"i-$1\",\"state\":\"[a-z]*" |
			sed 's/.*"//')
		echo "${state:-none}"
	done | xargs
}

unused() { # SERVER ; "yes" if no VM uses it for new requests
	case " $(states "$1") " in *ready*) echo no ;; *) echo yes ;; esac
}

route_statuses() { # PATH ; of a request to each VM
	local vm
	for vm in 1 2 3; do
		send_request $vm "$1"
		echo "$status"
	done | xargs
}

# The store has the new era, and the readers of both regions have read its rows.
drill() { # ERA
	control_store '{"mode": "up", "drill": "saved"}'
	wait_for "all VMs have heard era $1" "$1 $1 $1" numbers era
	# A row that is written now comes after those of the copy.
	server_seq=$1 put_server 9 ready
	wait_for "all VMs have read its servers" "ready ready ready" states 9
	remove_row servers i-9
	wait_for "a removal is known" yes unused 9
}

server_zones[9]=z0
server_seq=1
start_fleet
check "era at the start" "$(numbers era)" "1 1 1"

echo "# a lost configuration that callers have seen, replaced by an older one"
control_store '{"save": true}'
put_config 9 safe unsafe upload safe-new
wait_for "configuration 9 is in force" "9 9 9" numbers config
drill 2
check "configuration 9 stays in force" "$(numbers config)" "9 9 9"
check "its route is served" "$(route_statuses /safe-new/x)" "200 200 200"

echo "# a configuration that is written again with other contents"
put_config 9 safe unsafe upload safe-other
wait_for "the contents written again are in force" "200 200 200" \
	route_statuses /safe-other/x
check "the lost contents are not" "$(route_statuses /safe-new/x)" "404 404 404"
put_config 12 safe unsafe upload
wait_for "a later configuration is in force" "12 12 12" numbers config

echo "# a lost drain: the copy says that the server is ready"
control_store '{"save": true}'
server_seq=2 put_server 3 draining
wait_for "server 3 drains" "draining draining draining" states 3
runs=$(curl -s "http://127.21.1.3:$port/stub/runs" | wc -l)
drill 3
check "server 3 still drains" "$(states 3)" "draining draining draining"
for n in $(seq 20); do
	send_request 2 /safe/x
done
check "requests to it" "$(curl -s "http://127.21.1.3:$port/stub/runs" |
	wc -l)" "$runs"
server_seq=2 put_server 3 draining
server_seq=3 put_server 3 ready
wait_for "server 3 is ready once it says so" "ready ready ready" states 3

echo "# a lost removal: the copy lists a server that has left"
control_store '{"save": true}'
remove_row servers i-4
wait_for "server 4 is removed" yes unused 4
kill -KILL "${pid_of[s4]}"
drill 4
check "server 4 is not used again" "$(unused 4)" yes
check "requests of its zone" "$(route_statuses /unsafe/x)" "200 200 200"
remove_row servers i-4

echo "# a server that the copy does not list and that does not come back"
remove_row servers i-2
wait_for "server 2 is removed" yes unused 2
control_store '{"save": true}'
server_seq=4 put_server 2 ready
wait_for "server 2 is listed" "ready ready ready" states 2
drill 5
wait_for "a lost row that is not written again ends" yes unused 2
server_seq=5 put_server 2 ready
wait_for "server 2 is listed again" "ready ready ready" states 2

echo "# a VM that starts after a drill"
kill -KILL "${pid_of[e1]}"
sleep 0.2
start_edge 1 z0 ra
wait_ready 1
wait_for "era of the VM" "5 5 5" numbers era
check "its configuration" "$(numbers config)" "12 12 12"
check "requests" "$(route_statuses /unsafe/x)" "200 200 200"

echo "# a VM that is cut off during a drill"
kill -STOP "${pid_of[e2]}"
control_store '{"save": true}'
control_store '{"mode": "up", "drill": "saved"}'
put_config 13 safe unsafe upload safe-last
kill -CONT "${pid_of[e2]}"
wait_for "era of all VMs" "6 6 6" numbers era
wait_for "configuration of all VMs" "13 13 13" numbers config
check "requests" "$(route_statuses /safe-last/x)" "200 200 200"
check "each VM has logged each era once" \
	"$(cat "$dir/e3.log" | grep -c '"event":"store_era"\|"store_era"')" 6

exit $failed
