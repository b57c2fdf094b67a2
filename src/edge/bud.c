#include "bud.h"

#include <string.h>

#include "mem.h"

#define HALVES 3

/* Half windows older than the kept ones are dropped. */
static void advance(struct edge *e, struct svc_row *svc)
{
	int64_t half = e->set.retry_window_ns / 2;

	if (!svc->half_since_ns)
		svc->half_since_ns = e->ev.now_ns;
	if (e->ev.now_ns - svc->half_since_ns > half * HALVES) {
		memset(svc->requests, 0, sizeof(svc->requests));
		memset(svc->repeats, 0, sizeof(svc->repeats));
		svc->half_since_ns = e->ev.now_ns;
	}
	while (e->ev.now_ns - svc->half_since_ns >= half) {
		memmove(&svc->requests[1], &svc->requests[0],
			sizeof(svc->requests[0]) * (HALVES - 1));
		memmove(&svc->repeats[1], &svc->repeats[0],
			sizeof(svc->repeats[0]) * (HALVES - 1));
		svc->requests[0] = 0;
		svc->repeats[0] = 0;
		svc->half_since_ns += half;
	}
}

void bud_request(struct edge *e, struct svc_row *svc)
{
	advance(e, svc);
	svc->requests[0]++;
}

bool bud_take(struct edge *e, struct svc_row *svc)
{
	int64_t members = mem_alive(e);
	int64_t allowed, used;

	advance(e, svc);
	/* Any window overlaps at most three halves; the two newest full ones
	 * hold the requests that surely count. */
	used = (int64_t)svc->repeats[0] + svc->repeats[1] + svc->repeats[2];
	allowed = e->set.retry_permille *
		  ((int64_t)svc->requests[0] + svc->requests[1]);
	allowed += 1000 * e->set.retry_slack / (members ? members : 1);
	if ((used + 1) * 1000 > allowed)
		return false;
	svc->repeats[0]++;
	return true;
}
