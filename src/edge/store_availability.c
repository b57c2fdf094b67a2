#include "store_availability.h"

/* Reads that fail for this long, with no successful read in the region, count
 * as an outage. Longer than the interval at which another VM reads in place of
 * one that cannot (store_sync.c). */
#define OUTAGE_NS (2 * NS_PER_S)
/* Error of the ages of a report: the time that the report took. */
#define REPORT_ERROR_NS (200 * NS_PER_MS)

void avail_on_read(struct avail_state *a, int64_t now_ns, bool ok)
{
	int64_t failed_ns = a->failing_since_ns ? now_ns - a->failing_since_ns
						: 0;

	if (!ok) {
		if (!a->failing_since_ns)
			a->failing_since_ns = now_ns;
		return;
	}
	if (!a->served_ns || now_ns - a->served_ns >= OUTAGE_NS) {
		a->since_ns = now_ns;
		a->after_outage = failed_ns >= OUTAGE_NS;
	}
	a->served_ns = now_ns;
	a->failing_since_ns = 0;
}

bool avail_on_report(struct avail_state *a, int64_t now_ns,
		     const struct avail_report *r)
{
	int64_t since_ns = now_ns - r->since_age_ns;
	int64_t served_ns = now_ns - r->served_age_ns;
	bool gap = !a->served_ns ||
		   served_ns - a->served_ns >= OUTAGE_NS - REPORT_ERROR_NS;

	if (r->since_age_ns < 0)
		return true;
	if (served_ns > a->served_ns)
		a->served_ns = served_ns;
	if (gap || a->since_ns - since_ns >= OUTAGE_NS) {
		a->since_ns = since_ns;
		a->after_outage = r->after_outage;
		return true;
	}
	if (since_ns - a->since_ns >= OUTAGE_NS)
		return !r->after_outage;
	/* VMs reach the store again at different times after an outage. */
	if (since_ns < a->since_ns)
		a->since_ns = since_ns;
	a->after_outage |= r->after_outage;
	return true;
}

struct avail_report avail_report(const struct avail_state *a, int64_t now_ns)
{
	return (struct avail_report){
		.since_age_ns = a->since_ns ? now_ns - a->since_ns : -1,
		.served_age_ns = now_ns - a->served_ns,
		.after_outage = a->after_outage,
	};
}

int64_t avail_registered_ns(const struct avail_state *a)
{
	return a->after_outage ? a->since_ns + AVAIL_REGISTER_NS : 0;
}
