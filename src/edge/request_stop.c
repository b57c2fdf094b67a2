#include "request.h"

#include "request_internal.h"

void req_refuse_unsent(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->requests.len; i++) {
		struct req_row *r = tab_at(&e->requests, i);

		if (r->state < REQ_SENT)
			req_give_up(e, r, "VM is stopping");
	}
}

void req_cut_all(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->requests.len; i++) {
		struct req_row *r = tab_at(&e->requests, i);

		if (r->state == REQ_DONE)
			continue;
		r->may_have_run |= bconn_sent_bytes(e, r->backend_conn) > 0;
		if (r->state == REQ_RELAYING)
			req_truncate(e, r);
		else
			req_give_up(e, r, "VM is stopping");
	}
}
