#!/usr/bin/env bash
# Integration test of edge VMs whose settings file changes while they run. The
# heading of each step names the failure that it guards against.
set -u
EDGE_PORT=${EDGE_PORT:-21740}
. scripts/edge.sh

address_ttl() { # prints the lifetime of addresses that VM 1 answers
	curl -s -m 2 "http://127.21.2.1:$((port + 2))/resolve?name=h.example&region=ra&zone=z0" |
		sed 's/.*"ttl":"\([^"]*\)".*/\1/'
}

counter() { # NAME
	curl -s -m 2 "http://127.21.2.1:$((port + 3))/metrics" |
		sed -n "s/^currantpaddle_$1_total //p"
}

# Replaces the settings of VM 1 by themselves after a sed command.
change() { # SED-COMMAND
	sed "$1" "$dir/e1.json" >"$dir/e1.new"
	mv "$dir/e1.new" "$dir/e1.json"
}

start_fleet
check "lifetime of addresses at the start" "$(address_ttl)" 5000ms

echo "# a change that SIGHUP does not bring into force"
change 's/"grace": "3s"/"grace": "3s", "address_ttl": "2s"/'
kill -HUP "${pid_of[e1]}"
sleep 0.3
check "lifetime after SIGHUP" "$(address_ttl)" 2000ms
check "counted" "$(counter reloads)" 1

echo "# a change without a signal that is not noticed"
change 's/"address_ttl": "2s"/"address_ttl": "1s"/'
sleep 3
check "lifetime within 3 s" "$(address_ttl)" 1000ms

echo "# an invalid file that ends the process or changes its settings"
cp "$dir/e1.json" "$dir/good"
change 's/"address_ttl": "1s"/"address_ttl": "4s", "floor": 7/'
kill -HUP "${pid_of[e1]}"
sleep 0.3
check "lifetime after an invalid file" "$(address_ttl)" 1000ms
check "counted as an error" "$(counter reload_errors)" 1
check "logged" "$(grep -c '"event":"reload","result":"invalid"' "$dir/e1.log")" 1
send_request 1 /unsafe/x -d booking
check "served" "$status" 200
mv "$dir/good" "$dir/e1.json"

echo "# another address that is taken over in part"
change "s/\"ready\": \"127.21.2.1:[0-9]*\"/\"ready\": \"127.21.2.1:9\"/"
kill -HUP "${pid_of[e1]}"
sleep 0.3
check "still ready at the old address" "$(readiness 1)" 200
check "a log line names the setting" \
	"$(grep -c '"result":"needs a restart","detail":"ready"' "$dir/e1.log")" 1

echo "# requests that a series of signals fails"
: >"$dir/statuses"
loads=()
for n in $(seq 4); do
	(for i in $(seq 20); do
		curl -s -m 8 -o /dev/null -w '%{http_code}\n' \
			-H 'Host: h.example' -H "Request-Id: hup$n-$i" \
			-H 'Deadline-Ms: 5000' -d x \
			"http://127.21.2.1:$port/unsafe/x" >>"$dir/statuses"
	done) &
	loads+=($!)
done
for n in $(seq 20); do
	kill -HUP "${pid_of[e1]}"
	sleep 0.02
done
wait "${loads[@]}"
check "responses during the signals" "$(sort -u "$dir/statuses" | xargs)" 200

exit $failed
