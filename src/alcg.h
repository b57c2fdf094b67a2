#ifndef ALCG_H
#define ALCG_H

#include "core.h"

/* Accounts of an allocator: what each holder may still use, and new grants. */

struct holder_row *alcg_holder(struct core *c, struct hnd shard,
			       uint64_t member);
/* As alcg_holder(), and adds a row where there is none. */
struct holder_row *alcg_add_holder(struct core *c, struct hnd shard,
				   const struct member_row *member);
/* Account of one holder at one backend server; NULL without one. */
struct grant_row *alcg_grant(struct core *c, struct hnd backend,
			     uint64_t holder);
struct grant_row *alcg_add_grant(struct core *c, struct hnd backend,
				 uint64_t holder);
void alcg_ask(struct core *c, struct shard_row *shard,
	      const struct member_row *from,
	      const struct msg_lease_request *ask);
void alcg_return(struct core *c, struct shard_row *shard,
		 const struct member_row *from, const struct msg_release *ret);
/* Frees what lost holders can no longer use. */
void alcg_expire(struct core *c, struct shard_row *shard);
/* Grants, recalls and sends what has changed. */
void alcg_run(struct core *c, struct shard_row *shard);
/* Drops all accounts of a shard. */
void alcg_clear(struct core *c, struct hnd shard);

#endif
