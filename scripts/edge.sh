# Functions that run a fleet on loopback: a simulated store, four simulated
# backend servers in zones z0, z1 and z2, and three edge VMs, two in region ra
# and one in rb. Sourced by integration tests, the soak and the measurement. All
# processes are stopped and all files removed when the script exits.
#
# Addresses: store 127.21.0.1, backend server N 127.21.1.N, edge VM N
# 127.21.2.N. The port for callers is $port; those for readiness, the directory,
# control and messages between VMs follow in this order.

build=${BUILD_DIR:-build}
dir=$(mktemp -d)
port=${EDGE_PORT:-21700}
store=127.21.0.1:$port
# Addresses that the VMs use for the store and the backend servers; soak.sh puts
# a proxy there.
vm_store=$store
server_net=127.21.1
server_count=4
# Zone of each backend server, by number.
server_zones=(z0 z0 z1 z2 z2)
pids=()
declare -A pid_of
# Start of each backend server in Unix milliseconds; 1 if unset.
declare -A server_start_ms
# Id of each backend server; i-NUMBER if unset.
declare -A server_ids
failed=0

cleanup() {
	local pid
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT

start_process() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pid_of[$name]=$!
	pids+=($!)
}

check() { # WHAT ACTUAL EXPECTED
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
	else
		echo "FAILED: $1: got $2, expected $3"
		failed=1
	fi
}

put_row() { # TABLE KEY VALUE
	curl -s -m 5 -o /dev/null -H 'X-Operator: 1' --data-binary @- \
		"http://$store/rows-tx" <<JSON
{"puts":[{"table":"$1","part":"","key":"$2","value":"$(printf %s "$3" | base64 -w0)"}]}
JSON
}

remove_row() { # TABLE KEY
	curl -s -m 5 -o /dev/null -H 'X-Operator: 1' \
		--data "{\"remove\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\"}]}" \
		"http://$store/rows-tx"
}

control_store() { # JSON
	curl -s -m 5 -o /dev/null --data "$1" "http://$store/control"
}

put_config() { # VERSION ROUTES-WITH-SERVICE...
	local version=$1 rules='' rule
	shift
	for rule in "$@"; do
		rules+="{\"name\":\"r-$rule\",\"kind\":\"${rule%%-*}\",
			\"slo\":\"1000ms\",\"priority\":1,
			\"match\":{\"prefix\":\"/$rule/\"},
			\"action\":{\"service\":\"svc\",\"timeout\":\"${route_timeout:-3000ms}\",
			\"attempts\":2}},"
	done
	put_row op config "{\"version\":\"r$version\",\"limits\":{
		\"max_header_bytes\":16384,\"max_body_bytes\":${max_body_bytes:-67108864},
		\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},
		\"listeners\":[{\"host\":\"h.example\",
		\"rules\":[${rules%,}]}],
		\"clusters\":[{\"name\":\"svc\",\"health_path\":\"/healthz\",
		\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false}]}"
}

# The server records its runs in $runs_dir if that is set, and compares the
# requests with what soak sent if $check_requests is set.
start_server() { # N
	local id=${server_ids[$1]:-i-$1}
	start_process "s$1" "$build/serverd" "127.21.1.$1:$port:$id" \
		${runs_dir:+"$runs_dir/$id"} ${check_requests:+check}
}

put_server() { # N STATE
	put_row servers "${server_ids[$1]:-i-$1}" "{\"address\":\"$server_net.$1:$port\",
		\"born\":${server_start_ms[$1]:-1},
		\"info\":{\"service\":\"svc\",\"version\":\"v1\",
		\"zone\":\"${server_zones[$1]}\",\"slots\":6},
		\"status\":{\"state\":\"$2\",\"seq\":${server_seq:-1},
		\"warmup_left\":\"0ms\"}}"
}

start_edge() { # N ZONE REGION
	cat >"$dir/e$1.json" <<JSON
{
	"id": "e$1", "zone": "$2", "region": "$3",
	"callers": "127.21.2.$1:$port",
	"ready": "127.21.2.$1:$((port + 1))",
	"directory": "127.21.2.$1:$((port + 2))",
	"control": "127.21.2.$1:$((port + 3))",
	"store": "$vm_store",
	"seeds": ["127.21.2.1:$((port + 3))", "127.21.2.2:$((port + 3))"],
	"zones": {"z0": "ra", "z1": "ra", "z2": "rb"},
	"peer_port": $((port + 4)), "peer_trust": "network",
	"grace": "3s", "drain": "2s", "retry_ratio": 0.5, "retry_slack": 100
}
JSON
	start_process "e$1" "$build/currantpaddle" edge --settings "$dir/e$1.json"
}

start_edges() {
	start_edge 1 z0 ra
	start_edge 2 z1 ra
	start_edge 3 z2 rb
}

request_id=0
request_prefix=q
# Sets $status from a request with a deadline of $deadline_ms, 5000 if unset, and
# writes the response to $dir/head and $dir/body.
send_request() { # VM PATH CURL-OPTIONS...
	local vm=$1 path=$2
	shift 2
	request_id=$((request_id + 1))
	status=$(curl -s -m 8 -o "$dir/body" -D "$dir/head" \
		-w '%{http_code}' -H 'Host: h.example' \
		-H "Request-Id: $request_prefix$request_id" -H "Deadline-Ms: ${deadline_ms:-5000}" "$@" \
		"http://127.21.2.$vm:$port$path")
}

readiness() { # VM ; prints the status of /readyz
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"http://127.21.2.$1:$((port + 1))/readyz"
}

wait_ready() { # VM...
	local vm i
	for vm in "$@"; do
		for i in $(seq 100); do
			[ "$(readiness "$vm")" = 200 ] && break
			sleep 0.1
		done
		check "VM $vm is ready" "$(readiness "$vm")" 200
	done
}

count_runs() { # REQUEST-ID ; prints how often it ran, on all servers together
	local n
	for n in $(seq $server_count); do
		curl -s -m 2 "http://127.21.1.$n:$port/stub/runs"
	done | grep -cx "$1"
}

set_fault() { # MODE N...
	local mode=$1 n
	shift
	for n in "$@"; do
		curl -s -m 2 -o /dev/null \
			"http://127.21.1.$n:$port/stub/fault?mode=$mode"
	done
}

store_reads() { # prints the number of read calls that the store has served
	curl -s -m 2 "http://$store/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'
}

start_fleet() { # starts all processes, with configuration version 3
	local n
	start_process store "$build/rowsd" "$store"
	for n in $(seq $server_count); do
		start_server "$n"
	done
	sleep 0.5
	put_config 3 safe unsafe upload
	for n in $(seq $server_count); do
		put_server "$n" ready
	done
	start_edges
	wait_ready 1 2 3
}
