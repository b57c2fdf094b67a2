#include <string.h>

#include "edge_membership.h"
#include "edge_messages_internal.h"

/* Fields per team in a message. */
#define QUOTA_COUNT_FIELDS 3
/* VMs of each other region that the sums are sent to: the next message makes up
 * for a lost one. */
#define QUOTA_REGION_TARGETS 1

static void put_quota(struct edge *e, struct emsg_datagram *d,
		      enum emsg_kind kind, const struct quota_report *r)
{
	uint32_t i;

	emsg_begin(e, d, kind, 4);
	mpk_put_uint(&d->out, r->source);
	mpk_put_uint(&d->out, r->incarnation);
	mpk_put_int(&d->out, r->up_ns / NS_PER_MS);
	mpk_put_array(&d->out, r->count * QUOTA_COUNT_FIELDS);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(&d->out, r->counts[i].team);
		mpk_put_uint(&d->out, r->counts[i].run);
		mpk_put_uint(&d->out, r->counts[i].asked);
	}
}

void emsg_send_quota(struct edge *e, const struct quota_report *r, bool region)
{
	struct emsg_datagram d;

	put_quota(e, &d, region ? EMSG_QUOTA_REGION : EMSG_QUOTA, r);
	if (region)
		emsg_send_to_other_regions(e, &d, QUOTA_REGION_TARGETS);
	else
		emsg_send_to_peers(e, &d);
}

/* The source of counts of a region is a VM of that region. */
void emsg_on_quota(struct edge *e, struct mpk_reader *in, uint64_t sender,
		   bool region)
{
	const struct vm_row *from = vm_find(e, sender);
	const struct vm_row *source;
	struct quota_report r = {.count = 0};
	struct emsg_datagram d;
	uint32_t i;

	r.source = mpk_get_uint(in, 1, UINT64_MAX);
	r.incarnation = mpk_get_uint(in, 0, UINT64_MAX);
	r.up_ns = emsg_get_age(in);
	r.count = mpk_get_array_len(in, QUOTA_MAX_COUNTS * QUOTA_COUNT_FIELDS) /
		  QUOTA_COUNT_FIELDS;
	for (i = 0; i < r.count; i++) {
		r.counts[i].team = (uint32_t)mpk_get_uint(in, 1, UINT32_MAX);
		r.counts[i].run = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r.counts[i].asked = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
	source = vm_find(e, r.source);
	if (in->failed || !from || !source ||
	    (source->region == e->region) == region)
		return;
	quota_on_report(&e->quota, &r, region ? source->region : 0,
			e->ev.now_ns);
	if (!region || from->region == e->region)
		return;
	put_quota(e, &d, EMSG_QUOTA_REGION, &r);
	emsg_send_to_peers(e, &d);
}
