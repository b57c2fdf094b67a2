#include "edge_caller_pipeline.h"

#include "caller_memory.h"
#include "metrics.h"
#include "request.h"

static struct cconn_row *last_row(struct edge *e, struct cconn_row *c)
{
	while (!hnd_eq(c->next, HND_NONE))
		c = tab_get(&e->caller_conns, c->next);
	return c;
}

/* True if a request may run beside those before it. A response that closes the
 * connection is the last. */
static bool has_room(struct edge *e, struct cconn_row *c)
{
	struct cconn_row *last = last_row(e, c);

	return c->repeatable && c->held_count < CPIPE_MAX_HELD && !c->closing &&
	       last->keep_alive && !last->closing && !e->leaving;
}

static struct hnd add_row(struct edge *e, struct hnd conn,
			  const struct hreq *head)
{
	struct cconn_row *c, *held;
	struct hnd h;
	void *row;

	h = tab_add(&e->caller_conns, &row);
	held = row;
	c = tab_get(&e->caller_conns, conn);
	held->fd = -1;
	held->listener = c->listener;
	held->state = CCONN_RESPONDING;
	held->held = true;
	held->keep_alive = head->keep_alive;
	held->state_since_ns = e->ev.now_ns;
	strbuf_init(&held->in);
	strbuf_init(&held->out);
	cmem_open(e, held, h, c->fd);
	c->held_count++;
	last_row(e, c)->next = h;
	return h;
}

bool cpipe_begin(struct edge *e, struct hnd conn)
{
	struct cconn_row *c = tab_get(&e->caller_conns, conn);
	size_t len = hreq_head_len(strbuf_view(&c->in));
	struct hreq head;
	struct hnd h, req;

	if (!len || len > cconn_max_head_bytes(e) || !has_room(e, c) ||
	    hreq_parse(&head, (struct str){c->in.ptr, len}) || !head.minor ||
	    !req_may_run_beside(e, &head))
		return false;
	ctr_add(CTR_PIPELINED, 1);
	h = add_row(e, conn, &head);
	c = tab_get(&e->caller_conns, conn);
	req = req_begin(e, h, &head, arr_first(&c->arrivals, e->ev.now_ns));
	cconn_consume(c, len);
	if (hnd_eq(req, HND_NONE))
		return true;
	((struct cconn_row *)tab_get(&e->caller_conns, h))->req = req;
	req_body_received(e, req, STR_NONE, true);
	cmem_update(e, h);
	return true;
}

enum cpipe_next cpipe_take_next(struct edge *e, struct cconn_row *c,
				struct hnd conn)
{
	struct cconn_row *held = tab_get(&e->caller_conns, c->next);

	/* A response that closes the connection is its last: the requests
	 * behind it count as not read. */
	if (held && c->closing) {
		cpipe_cancel(e, c, "behind a response that closes");
		return CPIPE_NONE;
	}
	if (!held)
		return CPIPE_NONE;
	c->next = held->next;
	c->held_count--;
	held->closed = true;
	cmem_close(e, held);
	c->state = CCONN_RESPONDING;
	c->req = held->req;
	c->keep_alive = held->keep_alive;
	c->closing = held->closing;
	c->response_begun = held->response_begun;
	c->response_done = held->response_done;
	c->chunked_response = held->chunked_response;
	strbuf_add(&c->out, strbuf_view(&held->out));
	held->req = HND_NONE;
	if (held->response_done)
		return CPIPE_DONE;
	req_set_caller(e, c->req, conn);
	return CPIPE_RUNNING;
}

void cpipe_cancel(struct edge *e, struct cconn_row *c, const char *why)
{
	struct hnd next = c->next;

	c->next = HND_NONE;
	c->held_count = 0;
	while (!hnd_eq(next, HND_NONE)) {
		struct cconn_row *held = tab_get(&e->caller_conns, next);

		next = held->next;
		held->closed = true;
		cmem_close(e, held);
		req_cancel(e, held->req, why);
		held->req = HND_NONE;
	}
}
