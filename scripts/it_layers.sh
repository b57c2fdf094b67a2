#!/usr/bin/env bash
# Checks the dependencies between the layers of the program: modules that decide
# include no socket or encoding headers, headers of tables include no headers of
# systems, and only platform/ uses the names of the users' platform.
set -u
cd "$(dirname "$0")/.."
failed=0

# Fails if a line of the files matches.
expect_no_match() { # TEXT PATTERN FILE...
	local text=$1 pattern=$2 found
	shift 2
	found=$(grep -nE "$pattern" "$@")
	if [ -z "$found" ]; then
		echo "ok: $text"
	else
		echo "FAILED: $text:"
		echo "$found"
		failed=1
	fi
}

# Sources and headers of modules of an edge VM.
edge_files() { # MODULE...
	local module
	for module in "$@"; do
		ls src/edge/"$module".[ch]
	done
}

edge_encodings='#include [<"](sys/socket|sys/epoll|poll|civetweb|zmq|msgpack|mpack|json-c/|http_parser|messagepack|state_codec|http_request|response_head|edge_http_client|edge_backend_connection|edge_caller_connection)(\.h|/|>|")'
expect_no_match "decisions of an edge VM include no sockets or encodings" \
	"$edge_encodings" \
	$(edge_files edge_retry_budget edge_admission edge_outlier_detection \
		backend_load edge_membership edge_load_balancing backend_server \
		backend_progress stalled_attempt request_check \
		store_availability)
expect_no_match "decisions of an entry VM include no sockets or encodings" \
	'#include [<"](sys/socket|sys/epoll|poll|civetweb|zmq|mpack|json-c/|http_parser|messagepack|peer_codec|peer_transport|backend_connection|platform_http)(\.h|/|>|")' \
	src/allocator_{lease,distribution,grants,roster}.c \
	src/outlier_{detection,baselines,local_evidence,score}.c \
	src/holder_{shares,messages}.c src/membership{,_gossip}.c \
	src/{admission,claim,drain,ejection,rollout,retry_budget}.c
expect_no_match "the tables of an edge VM include no system" \
	'#include "(edge_retry_budget|edge_admission|edge_outlier_detection|backend_load|edge_membership|edge_messages|edge_load_balancing|request|backend_server|store_sync)\.h"' \
	src/edge/edge.h src/edge/edge_config.h
expect_no_match "the tables of an entry VM include no system" \
	'#include "(admin|admission|allocator|claim|core|outlier|drain|operator_drains|ejection|holder|membership|rollout|retry_budget)[a-z_]*\.h"' \
	src/core_rows.h
expect_no_match "only main.c includes the platform adapter" '#include "pf_' \
	$(ls src/*.[ch] src/edge/*.[ch] | grep -v '^src/main\.c$')
expect_no_match "only platform/ uses the platform's names" \
	'rows-|Expect-Instance|(^|[^-])Server-Leaving|Not-Executed|Response-Signature|(^|[^-])Deadline-Ms|warmup_left|traffic_split' \
	src/*.[ch] src/edge/*.[ch]
long_files=$(wc -l src/*.[ch] src/edge/*.[ch] platform/*.[ch] |
	awk '$2 != "total" && $1 > 600')
if [ -z "$long_files" ]; then
	echo "ok: no file over 600 lines"
else
	echo "FAILED: files over 600 lines: $long_files"
	failed=1
fi
exit $failed
