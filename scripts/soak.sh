#!/usr/bin/env bash
# Fault soak of edge VMs: real processes, external faults drawn from a seed, and
# callers that check the documented guarantees (tools/soak.c), while the servers
# compare each request with what its caller sent (tools/serverd.c). A phase of
# overlapping faults is followed by a recovery phase, at whose end all requests
# must be served again.
#
#   soak.sh SEED [FAULT-SECONDS]
#
# SOAK_FORMER_FAULTS=1 draws from the faults before "replace" and "early" were
# added, so that a seed from then gives the same sequence.
# Prints each fault with its time, and each violated guarantee. Clock changes
# are not tested: an edge VM reads the time of day only at its start.
set -u
cd "$(dirname "$0")/.."
seed=$1
fault_s=${2:-10}
. scripts/edge.sh

vm_count=${SOAK_VMS:-5}
server_count=${SOAK_SERVERS:-6}
vm_store=127.21.0.2:$port
server_net=127.21.3
proxy=127.21.0.3:$port
runs_dir=$dir/runs
mkdir "$runs_dir"
check_requests=1
RANDOM=$seed
# Recovery phase, in whose last quiet_s all requests must be served.
recovery_s=12
quiet_s=5
# Longest time from the end of the fault phase until all faults have ended.
settle_s=4
# Grace period of the VMs, and the time that the platform allows beyond it.
stop_ms=3500
version=3
routes=(safe unsafe upload)
zones=(z0 z1 z2)
regions=(ra ra rb)
declare -A reserved started_ms
# Time until a new process handles signals; none is sent to it before.
startup_ms=500
due_ms=()
commands=()

now_ms() {
	local t=$EPOCHREALTIME
	echo $((${t%.*} * 1000 + 10#${t#*.} / 1000))
}

log() {
	echo "$(($(now_ms) - begin_ms)) ms: $*"
}

report_violation() {
	echo "BROKEN $*"
	failed=1
}

start_vm() { # N
	started_ms[$1]=$(now_ms)
	start_edge "$1" "${zones[$1 % 3]}" "${regions[$1 % 3]}"
}

stop_process() { # NAME SIGNAL
	local pid=${pid_of[$1]} i
	kill "-$2" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	for i in "${!pids[@]}"; do
		[ "${pids[i]}" = "$pid" ] && unset "pids[i]"
	done
}

proxy_request() { # QUERY
	curl -s -m 2 -o /dev/null "http://$proxy/$1"
}

schedule() { # MS COMMAND
	due_ms+=($(($(now_ms) + $1)))
	commands+=("$2")
}

run_due_commands() {
	local i now
	now=$(now_ms)
	for i in "${!due_ms[@]}"; do
		if [ "${due_ms[i]}" -le "$now" ]; then
			local command=${commands[i]}
			unset "due_ms[i]" "commands[i]"
			eval "$command"
		fi
	done
}

# Sets $target to a VM (e) or server (s) and reserves it for a fault; fails if
# it is reserved already.
reserve() { # e|s COUNT
	target=$((RANDOM % $2 + 1))
	[ -n "${reserved[$1$target]:-}" ] && return 1
	reserved[$1$target]=1
}

# As reserve, for a VM that handles signals.
reserve_started_vm() {
	local now
	now=$(now_ms)
	reserve e "$vm_count" || return
	[ $((now - started_ms[$target])) -ge $startup_ms ] && return
	unset "reserved[e$target]"
	return 1
}

restart_vm() { # N
	start_vm "$1"
	unset "reserved[e$1]"
}

finish_vm_stop() { # N ; its process must have ended in response to SIGTERM
	local pid=${pid_of[e$1]}
	if kill -0 "$pid" 2>/dev/null; then
		report_violation "VM $1 still runs $stop_ms ms after SIGTERM"
		stop_process "e$1" KILL
	else
		wait "$pid"
		local code=$?
		[ $code = 0 ] || report_violation "VM $1 exited with $code after SIGTERM"
	fi
	restart_vm "$1"
}

restart_server() { # N
	server_start_ms[$1]=$(now_ms)
	start_server "$1"
	put_server "$1" ready
	unset "reserved[s$1]"
}

fault_vm_kill() {
	reserve e "$vm_count" || return
	log "kill VM $target"
	stop_process "e$target" KILL
	schedule $((RANDOM % 2000)) "restart_vm $target"
}

fault_vm_pause() {
	reserve e "$vm_count" || return
	log "pause VM $target"
	kill -STOP "${pid_of[e$target]}"
	schedule $((200 + RANDOM % 3000)) "kill -CONT ${pid_of[e$target]};
		unset 'reserved[e$target]'"
}

fault_vm_stop() {
	reserve_started_vm || return
	log "stop VM $target"
	kill -TERM "${pid_of[e$target]}"
	schedule $stop_ms "finish_vm_stop $target"
}

fault_vm_hup() {
	reserve_started_vm || return
	log "send SIGHUP to VM $target"
	kill -HUP "${pid_of[e$target]}"
	unset "reserved[e$target]"
}

fault_vm_all() {
	local n
	log "kill all VMs"
	for n in $(seq "$vm_count"); do
		[ -n "${reserved[e$n]:-}" ] && continue
		reserved[e$n]=1
		stop_process "e$n" KILL
		schedule $((RANDOM % 1000)) "restart_vm $n"
	done
}

fault_server_fault() {
	local modes=(reset shed error hang unsigned stray cut)
	[ -n "${SOAK_FORMER_FAULTS:-}" ] || modes+=(early)
	local mode=${modes[RANDOM % ${#modes[@]}]}
	reserve s "$server_count" || return
	log "server $target: $mode"
	set_fault "$mode" "$target"
	schedule $((300 + RANDOM % 3000)) "set_fault none $target;
		unset 'reserved[s$target]'"
}

fault_server_pause() {
	reserve s "$server_count" || return
	log "pause server $target"
	kill -STOP "${pid_of[s$target]}"
	schedule $((200 + RANDOM % 2000)) "kill -CONT ${pid_of[s$target]};
		unset 'reserved[s$target]'"
}

fault_server_kill() {
	reserve s "$server_count" || return
	log "kill server $target"
	stop_process "s$target" KILL
	schedule $((300 + RANDOM % 2000)) "restart_server $target"
}

# A server with another id gets the address; for a while the row of the former
# one still names it.
fault_server_replace() {
	local former
	reserve s "$server_count" || return
	former=${server_ids[$target]:-i-$target}
	log "replace server $target"
	stop_process "s$target" KILL
	schedule $((RANDOM % 4000)) "remove_row servers $former"
	schedule 2000 "server_ids[$target]=i-$target-$(now_ms);
		restart_server $target"
}

fault_server_drain() {
	reserve s "$server_count" || return
	log "drain server $target"
	put_server "$target" draining
	schedule $((1000 + RANDOM % 2000)) "put_server $target ready;
		unset 'reserved[s$target]'"
}

fault_link() {
	local modes=(cut cut_up cut_down "delay&ms=$((20 + RANDOM % 400))"
		"reset&bytes=$((RANDOM % 400))")
	local mode=${modes[RANDOM % ${#modes[@]}]}
	local dst=127.21.3.$((RANDOM % server_count + 1))
	[ $((RANDOM % 4)) = 0 ] && dst=127.21.0.2
	log "link to $dst: $mode"
	proxy_request "rule?dst=$dst&mode=$mode"
	schedule $((300 + RANDOM % 3000)) "proxy_request clear"
}

fault_store() {
	local modes=(down busy slow silent lose lose_before)
	local mode=${modes[RANDOM % ${#modes[@]}]}
	log "store: $mode"
	control_store "{\"mode\": \"$mode\", \"delay_ms\": $((RANDOM % 900))}"
	schedule $((300 + RANDOM % 4000)) "control_store '{\"mode\": \"up\"}'"
}

fault_store_forget() {
	log "store forgets its history"
	control_store '{"mode": "up", "forget": true}'
}

fault_config() {
	version=$((version + 1 + RANDOM % 3))
	log "configuration $version"
	put_config $version "${routes[@]}" "safe-$version"
}

start_soak_fleet() {
	local n specs=("127.21.0.2:$port=$store")
	for n in $(seq "$server_count"); do
		specs+=("$server_net.$n:$port=127.21.1.$n:$port")
		server_zones[n]=${zones[n % 3]}
		start_server "$n"
	done
	start_process proxy "$build/faultproxy" -c "$proxy" "${specs[@]}"
	start_process store "$build/rowsd" "$store"
	sleep 0.5
	put_config $version "${routes[@]}"
	for n in $(seq "$server_count"); do
		put_server "$n" ready
	done
	for n in $(seq "$vm_count"); do
		start_vm "$n"
	done
	wait_ready $(seq "$vm_count") | grep -v '^ok'
}

inject_faults() {
	local faults end end_ms
	[ -z "${SOAK_FORMER_FAULTS:-}" ] || unset -f fault_server_replace
	mapfile -t faults < <(compgen -A function fault_)
	end=$(($(now_ms) + fault_s * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		run_due_commands
		"${faults[RANDOM % ${#faults[@]}]}"
		sleep 0.$((RANDOM % 6 + 1))
	done
	end_ms=$((end + settle_s * 1000))
	while [ ${#commands[@]} -gt 0 ] || [ "$(now_ms)" -lt $end_ms ]; do
		run_due_commands
		sleep 0.05
	done
	proxy_request clear
	control_store '{"mode": "up"}'
	log "recovery phase"
}

count_server_runs() { # SERVER
	local file=$runs_dir/${server_ids[$1]:-i-$1}
	[ -e "$file" ] && grep -vc "^violation" "$file"
}

recovery_checks() {
	local n before
	sleep $((recovery_s - quiet_s - 2))
	for n in $(seq "$vm_count"); do
		[ "$(readiness "$n")" = 200 ] || report_violation "VM $n is not ready"
	done
	version=$((version + 1))
	put_config $version "${routes[@]}" "safe-$version"
	request_prefix=probe-$version-
	put_server 1 draining
	sleep 2.2
	before=$(count_server_runs 1)
	for n in $(seq "$vm_count"); do
		send_request "$n" "/safe-$version/x"
		[ "$status" = 200 ] ||
			report_violation "VM $n: configuration $version: $status"
	done
	sleep 1.5
	[ "$(count_server_runs 1)" = "$before" ] ||
		report_violation "a draining server got requests after 2.2 s"
	put_server 1 ready
}

begin_ms=$(now_ms)
echo "# seed $seed, $vm_count VMs, $server_count servers"
start_soak_fleet
"$build/soak" -s "$seed" -t $((fault_s + settle_s + recovery_s)) -q $quiet_s -r "$runs_dir" \
	-p "$port" $(seq -f 127.21.2.%g "$vm_count") >"$dir/soak.out" 2>&1 &
callers=$!
pids+=($callers)
inject_faults
recovery_checks
wait $callers || failed=1
cat "$dir/soak.out"
[ $failed = 0 ] || [ -z "${SOAK_LOGS:-}" ] || cp "$dir"/*.log "$SOAK_LOGS/"
[ $failed = 0 ] && echo "seed $seed: passed" || echo "seed $seed: FAILED"
exit $failed
