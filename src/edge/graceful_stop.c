#include "graceful_stop.h"

#include "edge_caller_connection.h"
#include "edge_listeners.h"
#include "edge_messages.h"
#include "logs.h"
#include "request.h"

/* Part of the grace period in which requests are taken. */
#define ACCEPT_PERMILLE 400
/* A request that a caller sent later than 3 s after the signal must not be cut
 * at the end (docs/platform.md, "Stop"); the rest is for a signal that is
 * handled late. */
#define MAX_ACCEPT_NS (2800 * NS_PER_MS)
/* The process ends this long before the end of the grace period: within its
 * last sixth, in which requests at backend servers may be cut. */
#define END_MARGIN_DIVISOR 12
#define MAX_END_MARGIN_NS (500 * NS_PER_MS)
/* Time without work after which the VM is drained. Longer than a round trip to
 * a caller, whose request may be on its way on an open connection. */
#define SETTLE_NS (300 * NS_PER_MS)

int64_t stop_accept_ns(int64_t grace_ns)
{
	int64_t accept_ns = grace_ns * ACCEPT_PERMILLE / 1000;

	return accept_ns < MAX_ACCEPT_NS ? accept_ns : MAX_ACCEPT_NS;
}

int64_t stop_end_ns(int64_t grace_ns)
{
	int64_t margin_ns = grace_ns / END_MARGIN_DIVISOR;

	return grace_ns -
	       (margin_ns < MAX_END_MARGIN_NS ? margin_ns : MAX_END_MARGIN_NS);
}

static int64_t accept_until_ns(const struct edge *e)
{
	return e->leave_ns + stop_accept_ns(e->settings.grace_ns);
}

static int64_t end_at_ns(const struct edge *e)
{
	return e->leave_ns + stop_end_ns(e->settings.grace_ns);
}

bool stop_accepts_requests(const struct edge *e)
{
	return !e->leaving || e->ev.now_ns < accept_until_ns(e);
}

void stop_begin(struct edge *e, int signal)
{
	if (e->leaving)
		return;
	logs_event(LOGS_INFO, "stop",
		   (struct logs_field[]){
			   LOGS_INT("signal", signal),
			   LOGS_INT("requests", e->requests.len),
			   LOGS_INT("connections", e->caller_conns.len),
		   },
		   3);
	e->leaving = true;
	e->leave_ns = e->ev.now_ns;
	e->last_work_ns = accept_until_ns(e);
	emsg_send_members(e, true);
}

static bool has_work(const struct edge *e)
{
	return e->requests.len || cconn_any_unfinished(e);
}

void stop_tick(struct edge *e, int64_t now_ns)
{
	if (!e->leaving || stop_accepts_requests(e))
		return;
	lsn_stop_accepting(e);
	req_refuse_unsent(e);
	if (now_ns >= end_at_ns(e)) {
		req_cut_all(e);
		e->ev.stop = true;
		return;
	}
	if (has_work(e))
		e->last_work_ns = now_ns;
	else if (now_ns - e->last_work_ns >= SETTLE_NS)
		e->ev.stop = true;
}

int64_t stop_next_due(const struct edge *e)
{
	int64_t settled_ns = e->last_work_ns + SETTLE_NS;

	if (!e->leaving)
		return TMR_NEVER;
	if (stop_accepts_requests(e))
		return accept_until_ns(e);
	return has_work(e) || end_at_ns(e) < settled_ns ? end_at_ns(e)
							: settled_ns;
}
