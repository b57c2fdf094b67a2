#ifndef WORK_ESTIMATE_H
#define WORK_ESTIMATE_H

#include "entity_table.h"
#include "hash_index.h"

/*
 * Expected time from sending a request to its complete response, by route and
 * service, learned from responses. The kinds of request of one service may
 * differ in the work that they need.
 */
struct work {
	/* Rows of routes, of at most WORK_MAX_ROUTES. */
	struct tab routes;
	struct idx route_by_key;
	/* Index of the row to replace next when there are too many. */
	uint32_t next_replaced;
};

struct work_time {
	int64_t mean_ns;
	/* Mean absolute deviation from it. */
	int64_t deviation_ns;
};

void work_init(struct work *w);
void work_free(struct work *w);
/* Records a response to a request of the route, whose key is not 0. */
void work_record(struct work *w, uint64_t route, uint64_t service,
		 int64_t took_ns);
/* Until enough responses of the route are known, the service's mean applies. */
struct work_time work_expect(const struct work *w, uint64_t route,
			     uint64_t service, int64_t service_mean_ns);

#endif
