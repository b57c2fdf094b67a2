#include "request_internal.h"

/* Time without requests for a server that this VM cannot connect to. */
#define UNREACHABLE_BACKOFF_NS (1500 * NS_PER_MS)

void req_change_server(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	const struct srv_row *s = tab_get(&e->servers, r->server);

	req_log(e, r, "server_changed", "", 0);
	bconn_cancel(e, r->backend_conn);
	r->backend_conn = HND_NONE;
	if (s && r->tried_count && r->tried[r->tried_count - 1] == s->key)
		r->tried_count--;
	if (--r->connect_attempts_left)
		req_dispatch(e, h);
	else
		req_give_up(e, r, "backend servers change");
}

void req_connected(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return;
	/* This process may have been paused since it chose the server. */
	if (e->ev.now_ns >= r->expires_ns) {
		req_expire(e, r);
		return;
	}
	req_send(e, h);
}

/* Nothing was sent, so a request of any kind may go to another server. */
void req_connect_failed(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = req_get(e, h);
	struct srv_row *s;

	if (!r)
		return;
	s = req_server(e, r);
	if (!s) {
		req_change_server(e, h);
		return;
	}
	req_log(e, r, "unreachable", why, 0);
	bconn_cancel(e, r->backend_conn);
	r->backend_conn = HND_NONE;
	s->full_until_ns = e->ev.now_ns + UNREACHABLE_BACKOFF_NS;
	if (!--r->connect_attempts_left) {
		req_give_up(e, r, "backend servers unreachable");
		return;
	}
	req_dispatch(e, h);
}
