#include "header_names.h"

const struct hdr_names hdr_default_names = {
	.request_id = {"X-Request-Id", 12},
	.deadline_ms = {"X-Deadline-Ms", 13},
	.expect_server = {"X-Expect-Server", 15},
	.not_run = {"X-Not-Run", 9},
	.response_signature = {NULL, 0},
	.server_leaving = {"X-Server-Leaving", 16},
};
