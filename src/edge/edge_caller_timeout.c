#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "edge_caller_connection_internal.h"
#include "logs.h"
#include "metrics.h"

/* A connection is reset whose caller has taken nothing of a response for this
 * time: its server and this VM's memory are held meanwhile. Servers cut off a
 * response that is not read for some seconds. */
#define UNREAD_TIMEOUT_NS (5 * NS_PER_S)
/* The same for a complete response, which holds no server: longer than callers
 * wait, 20 s at most. */
#define UNREAD_DONE_TIMEOUT_NS (30 * NS_PER_S)
/* Added to the idle timeout, so that a connection is not closed just as the
 * caller reuses it. */
#define IDLE_MARGIN_NS NS_PER_S
/* Time that a caller has to read the rest of a response before its connection
 * is closed. */
#define LINGER_NS (5 * NS_PER_S)
/* Limits until the first configuration sets them. */
#define DEFAULT_IDLE_TIMEOUT_NS (15 * NS_PER_S)
#define DEFAULT_HEAD_TIMEOUT_NS (3 * NS_PER_S)

/* True if the caller has taken nothing of a response for too long. */
static bool is_stalled(const struct edge *e, struct cconn_row *c)
{
	uint64_t taken = c->sent_bytes;
	int queued = 0;

	if (c->out.len == c->out_sent) {
		c->taken_ns = 0;
		return false;
	}
	if (!ioctl(c->fd, SIOCOUTQ, &queued))
		taken -= (uint64_t)queued;
	if (!c->taken_ns || taken != c->taken_bytes)
		c->taken_ns = e->ev.now_ns;
	c->taken_bytes = taken;
	return e->ev.now_ns - c->taken_ns >
	       (c->response_done ? UNREAD_DONE_TIMEOUT_NS : UNREAD_TIMEOUT_NS);
}

static void cut_unread(struct edge *e, struct cconn_row *c)
{
	ctr_add(CTR_TRUNCATED, 1);
	logs_event(LOGS_INFO, "cut",
		   (struct logs_field[]){
			   LOGS_STR("why", STR("response not read")),
			   LOGS_INT("bytes", c->out.len - c->out_sent),
			   LOGS_INT("pipelined", c->held_count),
		   },
		   3);
	cconn_set_reset_on_close(c);
	cconn_close(e, c, "response not read in time");
}

void cconn_expire(struct edge *e)
{
	int64_t now = e->ev.now_ns;
	int64_t idle = (e->conf ? e->conf->limits.idle_timeout_ns
				: DEFAULT_IDLE_TIMEOUT_NS) +
		       IDLE_MARGIN_NS;
	int64_t head = e->conf ? e->conf->limits.head_timeout_ns
			       : DEFAULT_HEAD_TIMEOUT_NS;
	uint32_t i;

	for (i = 0; i < e->caller_conns.len; i++) {
		struct cconn_row *c = tab_at(&e->caller_conns, i);
		int64_t age = now - c->state_since_ns;

		if (c->closed || c->held)
			continue;
		if (is_stalled(e, c))
			cut_unread(e, c);
		if (c->closed || !c->response_done || c->out.len > c->out_sent)
			continue;
		/* The caller was answered and does not send the rest of the
		 * body. */
		if (c->state == CCONN_READING_BODY && age > idle)
			cconn_close(e, c, "body not received in time");
		if (c->closed || c->state != CCONN_READING_HEAD)
			continue;
		if (c->closing && age > LINGER_NS)
			cconn_close(e, c, "response not read in time");
		else if (c->in.len && age > head && !c->closing)
			cconn_reject_and_close(
				e, c, tab_handle(&e->caller_conns, i), 408,
				"head not received in time");
		else if (!c->in.len && age > idle)
			cconn_close(e, c, "idle");
	}
}
