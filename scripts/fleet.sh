# Functions that run a whole fleet on loopback: platform simulator, backend
# server stubs and entry VMs. Sourced by the demo, the measurements and the
# integration tests. When the script exits, all processes are killed and the
# temporary folder is removed (FLEET_KEEP=1 keeps it).
#
# Addresses: entry VM i of zone z in region r is 127.(10+r).z.i and its address
# at the proxy 127.(50+r).z.i; backend servers are 127.(30+r).z.i for the first
# service and 127.(30+r).(10+z).i for the second; the platform is 127.9.0.1 and
# the control address of the proxy 127.9.0.2. All VMs use the same ports.
#
# With fleet_proxied=1, callers and other VMs reach an entry VM through
# faultproxy at its proxy address. A VM connects to others from its own address,
# so a proxy rule with src and dst can cut one direction between two zones.

# Folder of the binaries; sanitizer builds use another one.
BUILD_DIR=${BUILD_DIR:-build}
fleet_pids=()
declare -A fleet_pid_of

fleet_init() { # BASE_PORT
	fleet_base_port=$1
	fleet_dir=$(mktemp -d)
	fleet_caller_port=$fleet_base_port
	fleet_admin_port=$((fleet_base_port + 1))
	fleet_peer_port=$((fleet_base_port + 2))
	fleet_platform_port=$((fleet_base_port + 3))
	fleet_backend_port=$((fleet_base_port + 4))
	fleet_token=demonstration-token-1234
	fleet_detector=${fleet_detector:-shared}
	fleet_log_level=${fleet_log_level:-info}
	fleet_caller_addresses=()
	fleet_stubs=()
	fleet_stub_specs=()
	echo "$fleet_token" >"$fleet_dir/token"
	"$BUILD_DIR/currantpaddle" bundle keygen "$fleet_dir/ops" \
		>"$fleet_dir/public"
	"$BUILD_DIR/currantpaddle" peerkey >"$fleet_dir/peerkey"
	trap fleet_cleanup EXIT
}

fleet_cleanup() {
	local pid
	for pid in "${fleet_pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ -n "${FLEET_KEEP:-}" ]; then
		echo "kept $fleet_dir"
	else
		rm -rf "$fleet_dir"
	fi
}

fleet_start_process() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.log" &
	fleet_pid_of[$name]=$!
	fleet_pids+=($!)
}

# Regions and zones of the fleet, in the order of the address bytes; two zones
# per region.
fleet_regions=(emmental seeland)
fleet_zones=(burgdorf langnau aarberg ins)

fleet_zone_region() { # ZONE_INDEX
	echo $(($1 / 2))
}

# VMs are assigned to the zones in turn.
fleet_vm_host() { # INDEX, from 0
	local zone=$(($1 % 4))
	echo "127.$((10 + zone / 2)).$((zone % 2 + 1)).$(($1 / 4 + 1))"
}

fleet_proxy_host() { # VM_INDEX
	local zone=$(($1 % 4))
	echo "127.$((50 + zone / 2)).$((zone % 2 + 1)).$(($1 / 4 + 1))"
}

# Host at which callers and other VMs reach a VM.
fleet_advertised_host() { # INDEX
	if [ -n "${fleet_proxied:-}" ]; then
		fleet_proxy_host "$1"
	else
		fleet_vm_host "$1"
	fi
}

# Starts one faultproxy for the peer and caller ports of all VMs.
fleet_start_proxy() { # COUNT
	local i host proxy specs=()
	for ((i = 0; i < $1; i++)); do
		host=$(fleet_vm_host "$i")
		proxy=$(fleet_proxy_host "$i")
		specs+=("$proxy:$fleet_peer_port=$host:$fleet_peer_port")
		specs+=("$proxy:$fleet_caller_port=$host:$fleet_caller_port")
	done
	fleet_start_process proxy build/faultproxy \
		-c "127.9.0.2:$fleet_platform_port" "${specs[@]}"
}

# Adds a fault rule to the proxy.
fleet_add_proxy_rule() { # RULE, such as "src=127.10.&dst=127.51.&mode=cut"
	[ "$(curl -s -m 2 \
		"http://127.9.0.2:$fleet_platform_port/rule?$1")" = ok ]
}

fleet_clear_proxy_rules() {
	curl -s -m 2 "http://127.9.0.2:$fleet_platform_port/clear" >/dev/null
}

fleet_set_platform_mode() { # JSON, such as '{"mode":"down"}'
	curl -s -m 2 -d "$1" "http://127.9.0.1:$fleet_platform_port/control" \
		>/dev/null
}

# Backend servers are assigned to the zones in turn.
fleet_backend_host() { # INDEX SERVICE_INDEX
	local zone=$(($1 % 4))
	local zone_byte=$((zone % 2 + 1 + 10 * $2))
	echo "127.$((30 + zone / 2)).$zone_byte.$(($1 / 4 + 1))"
}

# Backend servers of one service as JSON objects; ids are "s0b00" and so on.
# Those listed in fleet_draining, separated by spaces, are marked as draining.
fleet_backend_list() { # SERVICE_INDEX COUNT
	local i host sep=
	for ((i = 0; i < $2; i++)); do
		host=$(fleet_backend_host "$i" "$1")
		printf '%s{"id":"s%db%02d","zone":"%s","address":"%s",' \
			"$sep" "$1" "$i" "${fleet_zones[$((i % 4))]}" "$host"
		printf '"port":%d,"slots":6,"connections":%d,"warmup_ms":%d' \
			"$fleet_backend_port" "${fleet_connections:-400}" \
			"${fleet_warmup_ms:-0}"
		case " ${fleet_draining:-} " in
		*" s$1b$(printf %02d "$i") "*) printf ',"draining":true' ;;
		esac
		printf '}'
		sep=,
	done
}

# Writes and signs a bundle with the services "booking" and "archive". Their
# floors are fleet_floor_percent of the slots.
fleet_bundle() { # VERSION PROFILE BOOKING_COUNT ARCHIVE_COUNT
	local booking_floor=$(($3 * 6 * ${fleet_floor_percent:-60} / 100))
	local archive_floor=$(($4 * 6 * ${fleet_floor_percent:-60} / 100))
	local deadline_ms=${fleet_deadline_ms:-8000}
	cat >"$fleet_dir/bundle-$1.json" <<-JSON
	{
	"name": "fleet", "version": $1, "link_bytes_per_s": 3000000,
	"regions": [
	 {"id":"${fleet_regions[0]}",
	  "zones":["${fleet_zones[0]}","${fleet_zones[1]}"]},
	 {"id":"${fleet_regions[1]}",
	  "zones":["${fleet_zones[2]}","${fleet_zones[3]}"]}
	],
	"services": [
	 {"id":"booking","floor_slots":$booking_floor,
	  "deadline_ms":$deadline_ms,"profile":"$2","queue_max":512,
	  "backend_servers":[$(fleet_backend_list 0 "$3")]},
	 {"id":"archive","floor_slots":$archive_floor,
	  "deadline_ms":$deadline_ms,"profile":"$2","queue_max":512,
	  "backend_servers":[$(fleet_backend_list 1 "$4")]}
	],
	"routes": [
	 {"prefix":"/booking","service":"booking"},
	 {"prefix":"/archive","service":"archive"}
	]
	}
	JSON
	"$BUILD_DIR/currantpaddle" bundle sign --key "$fleet_dir/ops.secret" \
		--output "$fleet_dir/bundle-$1.signed" \
		"$fleet_dir/bundle-$1.json" >/dev/null
}

fleet_start_platform() {
	fleet_start_process platform "$BUILD_DIR/platformd" \
		"127.9.0.1:$fleet_platform_port"
}

fleet_start_backends() { # BOOKING_COUNT ARCHIVE_COUNT [SEED]
	local i host
	fleet_stub_specs=()
	fleet_stubs=()
	for ((i = 0; i < $1; i++)); do
		host=$(fleet_backend_host "$i" 0)
		fleet_stubs+=("$host:$fleet_backend_port")
		fleet_stub_specs+=("${fleet_stubs[-1]}:s0b$(printf %02d "$i")")
	done
	for ((i = 0; i < $2; i++)); do
		host=$(fleet_backend_host "$i" 1)
		fleet_stubs+=("$host:$fleet_backend_port")
		fleet_stub_specs+=("${fleet_stubs[-1]}:s1b$(printf %02d "$i")")
	done
	fleet_start_process backends "$BUILD_DIR/backendd" -s "${3:-1}" \
		-m "${fleet_service_ms:-20}" "${fleet_stub_specs[@]}"
}

# Writes the settings file of a VM.
fleet_write_settings() { # INDEX
	local host advertised zone
	host=$(fleet_vm_host "$1")
	advertised=$(fleet_advertised_host "$1")
	zone=$(($1 % 4))
	cat >"$fleet_dir/vm$1.json" <<-JSON
	{
	"id": "vm$1", "region": "${fleet_regions[$((zone / 2))]}",
	"zone": "${fleet_zones[$zone]}",
	"caller": {"address": "$host", "port": $fleet_caller_port,
	 "advertise": {"address": "$advertised", "port": $fleet_caller_port}},
	"admin": {"address": "$host", "port": $fleet_admin_port, "tokens": [
	 {"name": "ops", "token": "$fleet_token",
	  "rights": ["read", "submit", "stop"]}]},
	"peer": {"address": "$host", "port": $fleet_peer_port,
	 "advertise": {"address": "$advertised", "port": $fleet_peer_port},
	 $(cat "$fleet_dir/peerkey"),
	 "seeds": [
	  {"address": "$(fleet_advertised_host 0)", "port": $fleet_peer_port},
	  {"address": "$(fleet_advertised_host 2)", "port": $fleet_peer_port}]},
	"platform": {"address": "127.9.0.1", "port": $fleet_platform_port},
	"bundle_keys": ["$(cat "$fleet_dir/public")"],
	"detector": "$fleet_detector",
	"caller_threads": ${fleet_threads:-64},
	"address_ttl_ms": ${fleet_ttl_ms:-3000},
	"log": {"level": "$fleet_log_level", "decisions": true}
	}
	JSON
}

fleet_start_vm() { # INDEX
	fleet_write_settings "$1"
	fleet_start_process "vm$1" "$BUILD_DIR/currantpaddle" entry \
		--settings "$fleet_dir/vm$1.json"
}

fleet_start_vms() { # COUNT
	local i
	for ((i = 0; i < $1; i++)); do
		fleet_start_vm "$i"
		fleet_caller_addresses+=(
			"$(fleet_advertised_host "$i"):$fleet_caller_port")
	done
}

fleet_join() { # SEPARATOR ITEM...
	local IFS=$1
	shift
	echo "$*"
}

# Caller addresses of all entry VMs, separated by commas.
fleet_entry_list() {
	fleet_join , "${fleet_caller_addresses[@]}"
}

# Addresses of all backend server stubs, separated by commas.
fleet_stub_list() {
	fleet_join , "${fleet_stubs[@]}"
}

fleet_admin_address() { # INDEX
	echo "$(fleet_vm_host "$1"):$fleet_admin_port"
}

fleet_submit() { # VERSION [VM_INDEX]
	"$BUILD_DIR/currantpaddle" bundle submit --wait \
		--admin "$(fleet_admin_address "${2:-0}")" \
		--token-file "$fleet_dir/token" "$fleet_dir/bundle-$1.signed"
}

fleet_status() { # VM_INDEX
	"$BUILD_DIR/currantpaddle" status --json \
		--admin "$(fleet_admin_address "$1")" \
		--token-file "$fleet_dir/token"
}

# Waits until every VM reports all others as alive.
fleet_wait_members() { # COUNT
	local i vm alive
	for ((vm = 0; vm < $1; vm++)); do
		for ((i = 0; i < 150; i++)); do
			alive=$(fleet_status "$vm" 2>/dev/null |
				grep -o '"state": *"alive"' | wc -l)
			[ "$alive" -ge "$1" ] && break
			sleep 0.1
		done
		[ "$alive" -ge "$1" ] || {
			echo "vm$vm reports only $alive of $1 VMs as alive"
			return 1
		}
	done
}

# Sets the fault of a backend server stub and resets its after_fault counters.
fleet_set_fault() { # STUB_ADDRESS QUERY
	curl -s -m 2 "http://$1/stub/fault?$2" >/dev/null
}

fleet_stub_stats() { # STUB_ADDRESS
	curl -s -m 2 "http://$1/stub/stats"
}

# Value of a number in one line of JSON.
fleet_json_number() { # NAME JSON
	sed -n "s/.*\"$1\":\(-\{0,1\}[0-9]*\).*/\1/p" <<<"$2"
}

# Log lines of all VMs with this event, as "TIME VM LINE", by time.
fleet_events() { # EVENT
	local head='{"time":"[^T]*T\([0-9:.]*\)Z","level":"[a-z]*"'
	grep -h "\"event\":\"$1\"" "$fleet_dir"/vm*.log 2>/dev/null |
		sed "s/^$head,\"vm\":\"\([^\"]*\)\"/\1 \2 &/" |
		sort
}

# Seconds since midnight for a log time such as 10:15:02.123456.
fleet_day_seconds() { # HH:MM:SS.FRACTION
	awk -v t="$1" 'BEGIN {
		split(t, p, ":")
		printf "%.6f", p[1] * 3600 + p[2] * 60 + p[3]
	}'
}

# Current time in seconds since midnight UTC, as in the logs.
fleet_now_seconds() {
	fleet_day_seconds "$(date -u +%H:%M:%S.%N)"
}
