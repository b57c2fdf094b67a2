#include "region_link.h"

#include <stdlib.h>

#include "metrics.h"
#include "membership.h"

#define COUNT_INTERVAL_NS NS_PER_S

struct lnk {
	/*
	 * Balance of the token bucket, in bytes; negative after a large
	 * answer.
	 */
	int64_t tokens;
	int64_t refilled_ns;
	uint32_t live_members;
	int64_t count_due_ns;
	uint64_t control_bytes;
};

void lnk_init(struct core *c)
{
	c->lnk = calloc(1, sizeof(*c->lnk));
	if (!c->lnk)
		abort();
}

void lnk_free(struct core *c)
{
	free(c->lnk);
	c->lnk = NULL;
}

static void count_live_members(struct core *c)
{
	struct lnk *l = c->lnk;
	uint32_t i;

	if (l->live_members && l->count_due_ns > c->now)
		return;
	l->count_due_ns = c->now + COUNT_INTERVAL_NS;
	l->live_members = 0;
	for (i = 0; i < c->members.len; i++)
		l->live_members += mbr_is_alive(c, tab_at(&c->members, i));
	if (!l->live_members)
		l->live_members = 1;
}

/* Refills at this VM's part of the limit; the bucket holds one second of it. */
static void refill(struct core *c)
{
	struct lnk *l = c->lnk;
	int64_t rate;
	int64_t passed = c->now - l->refilled_ns;

	count_live_members(c);
	rate = c->bundle->link_bytes_per_s / l->live_members;
	if (!l->refilled_ns || passed > NS_PER_S)
		passed = NS_PER_S;
	l->refilled_ns = c->now;
	l->tokens += (int64_t)((double)rate * (double)passed / NS_PER_S);
	if (l->tokens > rate)
		l->tokens = rate;
}

bool lnk_has_room(struct core *c)
{
	if (!c->bundle)
		return false;
	if (!c->bundle->link_bytes_per_s)
		return true;
	refill(c);
	return c->lnk->tokens > 0;
}

static void take_tokens(struct core *c, uint64_t bytes)
{
	if (c->bundle)
		refill(c);
	c->lnk->tokens -= (int64_t)bytes;
}

void lnk_count_request(struct core *c, struct svc_row *svc, uint64_t bytes)
{
	svc->link_bytes += bytes;
	ctr_add(CTR_LINK_BYTES, bytes);
	take_tokens(c, bytes);
}

void lnk_count_control(struct core *c, uint64_t bytes)
{
	c->lnk->control_bytes += bytes;
	ctr_add(CTR_CONTROL_LINK_BYTES, bytes);
	take_tokens(c, bytes);
}

uint64_t lnk_control_bytes(const struct core *c)
{
	return c->lnk->control_bytes;
}
