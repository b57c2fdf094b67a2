#!/usr/bin/env bash
# Test of the tools on which other tests rely. The heading of each step names
# the failure that it guards against.
set -u
build=${BUILD_DIR:-build}
dir=$(mktemp -d)
port=21760
server=127.21.5.1:$port
proxy=127.21.5.2:$port
control=127.21.5.3:$port
pids=()
failed=0
trap 'kill -KILL "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT

check() { # WHAT ACTUAL EXPECTED
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
	else
		echo "FAILED: $1: got $2, expected $3"
		failed=1
	fi
}

cpu_ticks() { # PID ; prints the processor time that it has used
	awk '{print $14 + $15}' "/proc/$1/stat"
}

"$build/backendd" "$server:b1" >"$dir/backendd.log" 2>&1 &
pids+=($!)
"$build/faultproxy" -c "$control" "$proxy=$server" >"$dir/proxy.log" 2>&1 &
pids+=($!)
sleep 0.5

echo "# a request with Connection: close that the stub resets"
check "status" "$(curl -s -m 3 -o /dev/null -w '%{http_code}' \
	-H 'Connection: close' "http://$server/x")" 200

echo "# a delay that loses the end of a response whose server closes"
curl -s -m 2 -o /dev/null "http://$control/rule?src=&dst=&mode=delay&ms=200"
check "response of 300000 bytes" "$(curl -s -m 5 -o /dev/null \
	-w '%{http_code} %{size_download}' -H 'Connection: close' \
	"http://$proxy/x?size=300000")" "200 300000"
curl -s -m 2 -o /dev/null "http://$control/clear"

echo "# a cut during which the proxy spins after a client's reset"
# A connection that is closed with unread bytes is reset.
exec {fd}<>"/dev/tcp/${proxy/:/\/}"
printf 'GET /x HTTP/1.1\r\nHost: x\r\n\r\n' >&$fd
sleep 0.3
curl -s -m 2 -o /dev/null "http://$control/rule?src=&dst=&mode=cut"
exec {fd}>&-
sleep 0.2
before=$(cpu_ticks "${pids[1]}")
sleep 2
used=$(($(cpu_ticks "${pids[1]}") - before))
check "processor time in 2 s of a cut" \
	"$([ $used -le 20 ] && echo at most 0.2 s || echo "$used ticks")" \
	"at most 0.2 s"
curl -s -m 2 -o /dev/null "http://$control/clear"
check "served after the cut" "$(curl -s -m 3 -o /dev/null \
	-w '%{http_code}' "http://$proxy/x")" 200

exit $failed
