#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include <stdint.h>

#include "entity_table.h"
#include "hash_index.h"

/*
 * Start-time fair queueing between the teams of a service. The tag of a team
 * grows by the cost of each of its requests. A team that was idle starts at the
 * virtual time of the service, so that idle time gives no credit.
 */
struct fairq {
	struct tab services;
	struct idx service_by_key;
	struct tab teams;
	struct idx team_by_key;
};

void fairq_init(struct fairq *q);
void fairq_free(struct fairq *q);
/* Keys of services are not 0; team 0 stands for all callers without one. */
int64_t fairq_virtual_time(const struct fairq *q, uint64_t service);
/* Tag at which the team's next request starts. */
int64_t fairq_start(const struct fairq *q, uint64_t service, uint64_t team);
/* Adds the cost of a request to its team's tag and returns the new tag. */
int64_t fairq_charge(struct fairq *q, uint64_t service, uint64_t team,
		     int64_t cost);
/* A request with that tag gets a slot: raises the service's virtual time. */
void fairq_advance(struct fairq *q, uint64_t service, int64_t tag);

#endif
