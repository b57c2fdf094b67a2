#include "header_names.h"

const struct hdr_names hdr_default_names = {
	.request_id = {"X-Request-Id", 12},
	.deadline_ms = {"X-Deadline-Ms", 13},
	.expect_server = {"X-Expect-Server", 15},
	.not_run = {"X-Not-Run", 9},
	.response_signature = {NULL, 0},
	.server_leaving = {"X-Server-Leaving", 16},
	.store_era = {"X-Store-Era", 11},
	.authorization = {"Authorization", 13},
	.team = {"X-Team", 6},
};

bool hdr_is_known(const struct hdr_names *names, struct str name)
{
	const struct str known[] = {
		names->request_id,	   names->deadline_ms,
		names->expect_server,	   names->not_run,
		names->response_signature, names->server_leaving,
	};
	size_t i;

	for (i = 0; i < sizeof(known) / sizeof(known[0]); i++)
		if (known[i].len && str_eq_nocase(name, known[i]))
			return true;
	return false;
}

bool hdr_is_of_team(const struct hdr_names *names, struct str name)
{
	return (names->authorization.len &&
		str_eq_nocase(name, names->authorization)) ||
	       (names->team.len && str_eq_nocase(name, names->team));
}
