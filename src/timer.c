#include "timer.h"

#include <stdlib.h>
#include <time.h>

int64_t tmr_now(void)
{
	struct timespec ts;

	if (clock_gettime(CLOCK_BOOTTIME, &ts))
		abort();
	return ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

void tmr_init(struct tmr *t)
{
	tab_init(&t->subs, sizeof(struct tmr_opts));
}

void tmr_free(struct tmr *t)
{
	tab_free(&t->subs);
}

struct hnd tmr_subscribe(struct tmr *t, const struct tmr_opts *opts)
{
	void *row;
	struct hnd h = tab_add(&t->subs, &row);

	*(struct tmr_opts *)row = *opts;
	return h;
}

void tmr_cancel(struct tmr *t, struct hnd h)
{
	tab_del(&t->subs, h);
}

/* Reschedules a periodic timer to a time after now; deletes a one-shot one. */
static void reschedule(struct tmr *t, struct hnd h, int64_t now_ns)
{
	struct tmr_opts *sub = tab_get(&t->subs, h);

	if (!sub->period_ns) {
		tab_del(&t->subs, h);
		return;
	}
	sub->due_ns += sub->period_ns;
	if (sub->due_ns <= now_ns)
		sub->due_ns = now_ns + sub->period_ns;
}

void tmr_run(struct tmr *t, int64_t now_ns)
{
	uint32_t i = t->subs.len;

	/*
	 * Deleting a row moves the last row into its place, so the loop runs
	 * backwards: a moved row has already been visited. Callbacks may
	 * delete rows too, hence the check of the index.
	 */
	while (i-- > 0) {
		struct tmr_opts sub;
		struct hnd h;

		if (i >= t->subs.len)
			continue;
		sub = *(struct tmr_opts *)tab_at(&t->subs, i);
		if (sub.due_ns > now_ns)
			continue;
		h = tab_handle(&t->subs, i);
		reschedule(t, h, now_ns);
		sub.fire(sub.ctx, now_ns);
	}
}

int64_t tmr_next_due(const struct tmr *t)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < t->subs.len; i++) {
		const struct tmr_opts *sub = tab_at(&t->subs, i);

		if (sub->due_ns < due)
			due = sub->due_ns;
	}
	return due;
}
