#ifndef ALCR_H
#define ALCR_H

#include "core.h"

/* Contact of an allocator, a candidate or a holder with the roster. */

/* Age up to which a member's word about its silence counts. */
#define ALCR_SILENCE_MAX_AGE_NS NS_PER_S
/*
 * A holder keeps a share past its lease only when a majority says that it has
 * not heard the allocator for ALCR_ORPHAN_SILENCE_NS. An allocator frees a
 * silent holder's share only when a fixed majority was never silent for as long
 * as ALCR_CONTACT_GAP_NS. The first must be the larger, so that the two exclude
 * each other.
 */
#define ALCR_ORPHAN_SILENCE_NS (1500 * NS_PER_MS)
#define ALCR_CONTACT_GAP_NS (1400 * NS_PER_MS)
/* An allocator without the platform goes on for this long after contact. */
#define ALCR_MAJORITY_LEASE_NS (3 * NS_PER_S)
/*
 * A restarted member has forgotten that it follows a later epoch. It counts
 * only after an allocator that needs it for its majority has lost its lease.
 */
#define ALCR_RESTART_WAIT_NS (ALCR_MAJORITY_LEASE_NS + 200 * NS_PER_MS)

/* First live VM of the shard's region in rendezvous order, or NULL. */
const struct member_row *alcr_candidate(struct core *c,
					const struct shard_row *shard);
/* A member has not heard the allocator of this epoch for silent_ns. */
void alcr_record_silence(struct core *c, struct hnd shard, uint64_t member,
			 uint64_t epoch, int64_t silent_ns);
/* A majority of the roster says that it did not hear it for limit_ns. */
bool alcr_majority_silent(struct core *c, struct hnd shard_h, int64_t limit_ns);
/* The member itself answered lately that it hears, or is, the allocator. */
bool alcr_is_heard_by(struct core *c, struct hnd shard_h, uint64_t member,
		      int64_t limit_ns);
/* Asks the roster what it holds and hears; rate-limited. */
void alcr_query(struct core *c, struct shard_row *shard);
/* Names this VM as allocator to one member; changes no share. */
void alcr_announce(struct core *c, const struct shard_row *shard,
		   const struct member_row *to);
/* Keeps contact where the allocator needs it, and settles a new epoch. */
void alcr_keep_contact(struct core *c, struct shard_row *shard);
/* Time at which a majority of the roster had heard this allocator. */
int64_t alcr_majority_contact_ns(struct core *c, struct shard_row *shard);
/* A majority has heard it without a gap since since_ns. */
bool alcr_majority_steady_since(struct core *c, struct shard_row *shard,
				int64_t since_ns);

#endif
