# Functions that run edge VMs on loopback: a stand-in of the users' store, four
# backend servers in zones z0, z1 and z2, and three edge VMs, two in region ra
# and one in rb. Sourced by integration tests. Everything is stopped and removed
# when the script exits.
#
# Addresses: store 127.21.0.1, backend server N 127.21.1.N, edge VM N
# 127.21.2.N; the callers' port is $port, ready, directory, control and messages
# between VMs follow it.

build=${BUILD_DIR:-build}
dir=$(mktemp -d)
port=${EDGE_PORT:-21700}
store=127.21.0.1:$port
# Where VMs reach the store and the backend servers; a proxy may stand between.
vm_store=$store
server_net=127.21.1
server_count=4
# Zone of each backend server, by number.
server_zones=(z0 z0 z1 z2 z2)
pids=()
declare -A pid_of
# Start of each backend server in Unix milliseconds; 1 where there is none.
declare -A server_born
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

start() { # NAME COMMAND...
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

put() { # TABLE KEY VALUE
	curl -s -m 5 -o /dev/null -H 'X-Operator: 1' --data-binary @- \
		"http://$store/rows-tx" <<JSON
{"puts":[{"table":"$1","part":"","key":"$2","value":"$(printf %s "$3" | base64 -w0)"}]}
JSON
}

control() { # JSON
	curl -s -m 5 -o /dev/null --data "$1" "http://$store/control"
}

config() { # VERSION ROUTES-WITH-SERVICE...
	local version=$1 rules='' rule
	shift
	for rule in "$@"; do
		rules+="{\"name\":\"r-$rule\",\"kind\":\"${rule%%-*}\",
			\"slo\":\"1000ms\",\"priority\":1,
			\"match\":{\"prefix\":\"/$rule/\"},
			\"action\":{\"service\":\"svc\",\"timeout\":\"3000ms\",
			\"attempts\":2}},"
	done
	put op config "{\"version\":\"r$version\",\"limits\":{
		\"max_header_bytes\":16384,\"max_body_bytes\":67108864,
		\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},
		\"listeners\":[{\"host\":\"h.example\",
		\"rules\":[${rules%,}]}],
		\"clusters\":[{\"name\":\"svc\",\"health_path\":\"/healthz\",
		\"max_conns\":390,\"protocol\":\"h1\",\"tls\":false}]}"
}

server() { # N ; its runs are also kept in $runs_dir, if set
	start "s$1" "$build/serverd" "127.21.1.$1:$port:i-$1" \
		${runs_dir:+"$runs_dir/i-$1"}
}

server_row() { # N STATE
	put servers "i-$1" "{\"address\":\"$server_net.$1:$port\",
		\"born\":${server_born[$1]:-1},
		\"info\":{\"service\":\"svc\",\"version\":\"v1\",
		\"zone\":\"${server_zones[$1]}\",\"slots\":6},
		\"status\":{\"state\":\"$2\",\"seq\":1,
		\"warmup_left\":\"0ms\"}}"
}

edge() { # N ZONE REGION
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
	start "e$1" "$build/currantpaddle" edge --settings "$dir/e$1.json"
}

edges() {
	edge 1 z0 ra
	edge 2 z1 ra
	edge 3 z2 rb
}

request_id=0
ask() { # VM PATH CURL-OPTIONS... ; sets $status and leaves the body
	local vm=$1 path=$2
	shift 2
	request_id=$((request_id + 1))
	status=$(curl -s -m 8 -o "$dir/body" -D "$dir/head" \
		-w '%{http_code}' -H 'Host: h.example' \
		-H "Request-Id: q$request_id" -H 'Deadline-Ms: 5000' "$@" \
		"http://127.21.2.$vm:$port$path")
}

ready() { # VM
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"http://127.21.2.$1:$((port + 1))/readyz"
}

wait_ready() { # VM...
	local vm i
	for vm in "$@"; do
		for i in $(seq 100); do
			[ "$(ready "$vm")" = 200 ] && break
			sleep 0.1
		done
		check "VM $vm is ready" "$(ready "$vm")" 200
	done
}

runs() { # REQUEST-ID ; how often it ran, at all servers
	local n
	for n in $(seq $server_count); do
		curl -s -m 2 "http://127.21.1.$n:$port/stub/runs"
	done | grep -cx "$1"
}

fault() { # MODE N...
	local mode=$1 n
	shift
	for n in "$@"; do
		curl -s -m 2 -o /dev/null \
			"http://127.21.1.$n:$port/stub/fault?mode=$mode"
	done
}

reads() {
	curl -s -m 2 "http://$store/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'
}

fleet() { # starts all, with the configuration of version 3
	local n
	start store "$build/rowsd" "$store"
	for n in $(seq $server_count); do
		server "$n"
	done
	sleep 0.5
	config 3 safe unsafe upload
	for n in $(seq $server_count); do
		server_row "$n" ready
	done
	edges
	wait_ready 1 2 3
}
