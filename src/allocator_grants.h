#ifndef ALLOCATOR_GRANTS_H
#define ALLOCATOR_GRANTS_H

#include "core.h"

/*
 * Records of an allocator: the slots that each holder may be using. Sends new
 * grants from them.
 */

struct holder_row *alcg_find_holder(struct core *c, struct hnd shard,
				    uint64_t member);
/* Like alcg_find_holder(), but adds a missing row. */
struct holder_row *alcg_add_holder(struct core *c, struct hnd shard,
				   const struct member_row *member);
/* Grant of one backend server to one holder; NULL if there is none. */
struct grant_row *alcg_find_grant(struct core *c, struct hnd backend,
				  uint64_t holder);
struct grant_row *alcg_add_grant(struct core *c, struct hnd backend,
				 uint64_t holder);
void alcg_on_lease_request(struct core *c, struct shard_row *shard,
			   const struct member_row *from,
			   const struct msg_lease_request *request);
void alcg_on_release(struct core *c, struct shard_row *shard,
		     const struct member_row *from,
		     const struct msg_release *release);
/* Removes the grants of silent holders that can no longer use them. */
void alcg_expire(struct core *c, struct shard_row *shard);
/* Distributes slots, if the lease allows it, and sends the changed grants. */
void alcg_send_grants(struct core *c, struct shard_row *shard);
/* Removes all holders and grants of a shard. */
void alcg_clear(struct core *c, struct hnd shard);

#endif
