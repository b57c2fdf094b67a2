#!/usr/bin/env bash
# Fault soak of edge VMs: real processes, faults from outside them drawn from a
# seed, and callers that check the promises of the pages (tools/soak.c). A storm
# of faults that overlap is followed by a calm time, in which everything has to
# be served again.
#
#   soak.sh SEED [STORM-SECONDS]
#
# Prints each fault with its time, and what was broken. The time of day, which
# an edge VM reads only at its start, is not changed.
set -u
cd "$(dirname "$0")/.."
seed=$1
storm_s=${2:-10}
. scripts/edge.sh

vm_count=${SOAK_VMS:-5}
server_count=${SOAK_SERVERS:-6}
vm_store=127.21.0.2:$port
server_net=127.21.3
proxy=127.21.0.3:$port
runs_dir=$dir/runs
mkdir "$runs_dir"
RANDOM=$seed
# After the storm: until VMs and servers must have recovered, and the time in
# which the callers' requests must be served.
calm_s=12
# Longest time until the last fault of the storm has ended.
undo_s=4
quiet_s=5
# Grace time of the VMs and what the platform allows beyond it.
stop_ms=3500
version=3
routes=(safe unsafe upload)
zones=(z0 z1 z2)
regions=(ra ra rb)
declare -A busy since_ms
# Until a process handles signals; it is not sent any before.
start_ms=500
undo_at=()
undo=()

now_ms() {
	local t=$EPOCHREALTIME
	echo $((${t%.*} * 1000 + 10#${t#*.} / 1000))
}

say() {
	echo "$(($(now_ms) - begin_ms)) ms: $*"
}

broken() {
	echo "BROKEN $*"
	failed=1
}

vm() { # N
	since_ms[$1]=$(now_ms)
	edge "$1" "${zones[$1 % 3]}" "${regions[$1 % 3]}"
}

end_process() { # NAME SIGNAL
	local pid=${pid_of[$1]} i
	kill "-$2" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	for i in "${!pids[@]}"; do
		[ "${pids[i]}" = "$pid" ] && unset "pids[i]"
	done
}

rule() { # QUERY
	curl -s -m 2 -o /dev/null "http://$proxy/$1"
}

later() { # MS COMMAND
	undo_at+=($(($(now_ms) + $1)))
	undo+=("$2")
}

run_due() {
	local i now
	now=$(now_ms)
	for i in "${!undo_at[@]}"; do
		if [ "${undo_at[i]}" -le "$now" ]; then
			local command=${undo[i]}
			unset "undo_at[i]" "undo[i]"
			eval "$command"
		fi
	done
}

# Sets $target to a VM (e) or server (s) without a fault, and marks it.
take() { # e|s COUNT
	target=$((RANDOM % $2 + 1))
	[ -n "${busy[$1$target]:-}" ] && return 1
	busy[$1$target]=1
}

# As take, of a VM that handles signals.
take_started() {
	local now
	now=$(now_ms)
	take e "$vm_count" || return
	[ $((now - since_ms[$target])) -ge $start_ms ] && return
	unset "busy[e$target]"
	return 1
}

vm_back() { # N
	vm "$1"
	unset "busy[e$1]"
}

vm_stopped() { # N ; its process must have ended by itself
	local pid=${pid_of[e$1]}
	if kill -0 "$pid" 2>/dev/null; then
		broken "VM $1 runs $stop_ms ms after SIGTERM"
		end_process "e$1" KILL
	else
		wait "$pid"
		local code=$?
		[ $code = 0 ] || broken "VM $1 ended with $code after SIGTERM"
	fi
	vm_back "$1"
}

server_back() { # N
	server_born[$1]=$(now_ms)
	server "$1"
	server_row "$1" ready
	unset "busy[s$1]"
}

fault_vm_kill() {
	take e "$vm_count" || return
	say "kill VM $target"
	end_process "e$target" KILL
	later $((RANDOM % 2000)) "vm_back $target"
}

fault_vm_pause() {
	take e "$vm_count" || return
	say "pause VM $target"
	kill -STOP "${pid_of[e$target]}"
	later $((200 + RANDOM % 3000)) "kill -CONT ${pid_of[e$target]};
		unset 'busy[e$target]'"
}

fault_vm_stop() {
	take_started || return
	say "stop VM $target"
	kill -TERM "${pid_of[e$target]}"
	later $stop_ms "vm_stopped $target"
}

fault_vm_hup() {
	take_started || return
	say "hang up VM $target"
	kill -HUP "${pid_of[e$target]}"
	unset "busy[e$target]"
}

fault_vm_all() {
	local n
	say "kill all VMs"
	for n in $(seq "$vm_count"); do
		[ -n "${busy[e$n]:-}" ] && continue
		busy[e$n]=1
		end_process "e$n" KILL
		later $((RANDOM % 1000)) "vm_back $n"
	done
}

fault_server_fault() {
	local modes=(reset shed error hang unsigned stray cut)
	local mode=${modes[RANDOM % ${#modes[@]}]}
	take s "$server_count" || return
	say "server $target: $mode"
	fault "$mode" "$target"
	later $((300 + RANDOM % 3000)) "fault none $target;
		unset 'busy[s$target]'"
}

fault_server_pause() {
	take s "$server_count" || return
	say "pause server $target"
	kill -STOP "${pid_of[s$target]}"
	later $((200 + RANDOM % 2000)) "kill -CONT ${pid_of[s$target]};
		unset 'busy[s$target]'"
}

fault_server_kill() {
	take s "$server_count" || return
	say "kill server $target"
	end_process "s$target" KILL
	later $((300 + RANDOM % 2000)) "server_back $target"
}

fault_server_drain() {
	take s "$server_count" || return
	say "drain server $target"
	server_row "$target" draining
	later $((1000 + RANDOM % 2000)) "server_row $target ready;
		unset 'busy[s$target]'"
}

fault_link() {
	local modes=(cut cut_up cut_down "delay&ms=$((20 + RANDOM % 400))"
		"reset&bytes=$((RANDOM % 400))")
	local mode=${modes[RANDOM % ${#modes[@]}]}
	local dst=127.21.3.$((RANDOM % server_count + 1))
	[ $((RANDOM % 4)) = 0 ] && dst=127.21.0.2
	say "link to $dst: $mode"
	rule "rule?dst=$dst&mode=$mode"
	later $((300 + RANDOM % 3000)) "rule clear"
}

fault_store() {
	local modes=(down busy slow silent lose lose_before)
	local mode=${modes[RANDOM % ${#modes[@]}]}
	say "store: $mode"
	control "{\"mode\": \"$mode\", \"delay_ms\": $((RANDOM % 900))}"
	later $((300 + RANDOM % 4000)) "control '{\"mode\": \"up\"}'"
}

fault_store_forget() {
	say "store forgets its history"
	control '{"mode": "up", "forget": true}'
}

fault_config() {
	version=$((version + 1 + RANDOM % 3))
	say "configuration $version"
	config $version "${routes[@]}" "safe-$version"
}

start_fleet() {
	local n specs=("127.21.0.2:$port=$store")
	for n in $(seq "$server_count"); do
		specs+=("$server_net.$n:$port=127.21.1.$n:$port")
		server_zones[n]=${zones[n % 3]}
		server "$n"
	done
	start proxy "$build/faultproxy" -c "$proxy" "${specs[@]}"
	start store "$build/rowsd" "$store"
	sleep 0.5
	config $version "${routes[@]}"
	for n in $(seq "$server_count"); do
		server_row "$n" ready
	done
	for n in $(seq "$vm_count"); do
		vm "$n"
	done
	wait_ready $(seq "$vm_count") | grep -v '^ok'
}

storm() {
	local faults end calm_ms
	mapfile -t faults < <(compgen -A function fault_)
	end=$(($(now_ms) + storm_s * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		run_due
		"${faults[RANDOM % ${#faults[@]}]}"
		sleep 0.$((RANDOM % 6 + 1))
	done
	calm_ms=$((end + undo_s * 1000))
	while [ ${#undo[@]} -gt 0 ] || [ "$(now_ms)" -lt $calm_ms ]; do
		run_due
		sleep 0.05
	done
	rule clear
	control '{"mode": "up"}'
	say "calm"
}

work_of() { # SERVER
	[ -e "$runs_dir/i-$1" ] && wc -l <"$runs_dir/i-$1"
}

calm_checks() {
	local n before
	sleep $((calm_s - quiet_s - 2))
	for n in $(seq "$vm_count"); do
		[ "$(ready "$n")" = 200 ] || broken "VM $n is not ready"
	done
	version=$((version + 1))
	config $version "${routes[@]}" "safe-$version"
	server_row 1 draining
	sleep 2.2
	before=$(work_of 1)
	for n in $(seq "$vm_count"); do
		ask "$n" "/safe-$version/x"
		[ "$status" = 200 ] ||
			broken "VM $n: configuration $version: $status"
	done
	sleep 1.5
	[ "$(work_of 1)" = "$before" ] ||
		broken "work of a draining server after 2.2 s"
	server_row 1 ready
}

begin_ms=$(now_ms)
echo "# seed $seed, $vm_count VMs, $server_count servers"
start_fleet
"$build/soak" -s "$seed" -t $((storm_s + undo_s + calm_s)) -q $quiet_s -r "$runs_dir" \
	-p "$port" $(seq -f 127.21.2.%g "$vm_count") >"$dir/soak.out" 2>&1 &
callers=$!
pids+=($callers)
storm
calm_checks
wait $callers || failed=1
cat "$dir/soak.out"
[ $failed = 0 ] || [ -z "${SOAK_LOGS:-}" ] || cp "$dir"/*.log "$SOAK_LOGS/"
[ $failed = 0 ] && echo "seed $seed: passed" || echo "seed $seed: FAILED"
exit $failed
