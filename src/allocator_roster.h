#ifndef ALLOCATOR_ROSTER_H
#define ALLOCATOR_ROSTER_H

#include "core.h"

/*
 * Contact with the voters (the VMs over which a majority is counted, see
 * mbr_is_voter()), as needed by an allocator, a candidate for allocator or a
 * holder.
 */

/* A member's report that it has not heard the allocator expires at this age. */
#define ALCR_SILENCE_MAX_AGE_NS NS_PER_S
/*
 * A holder keeps a share past its lease (as an orphan) only while a majority
 * reports that it has not heard the allocator for ALCR_ORPHAN_SILENCE_NS. An
 * allocator frees the share of a silent holder only if one and the same
 * majority has heard it without a gap of ALCR_CONTACT_GAP_NS. The first limit
 * must be the larger one, so that both cannot happen at once.
 */
#define ALCR_ORPHAN_SILENCE_NS (1500 * NS_PER_MS)
#define ALCR_CONTACT_GAP_NS (1400 * NS_PER_MS)
/*
 * Without the platform, contact with a majority extends the allocator's lease
 * by this time.
 */
#define ALCR_MAJORITY_LEASE_NS (3 * NS_PER_S)
/*
 * A restarted member no longer knows that it follows a later epoch, so it could
 * give an outdated allocator its majority. It counts only after this wait, in
 * which the lease of an allocator that depends on it expires.
 */
#define ALCR_RESTART_WAIT_NS (ALCR_MAJORITY_LEASE_NS + 200 * NS_PER_MS)

/*
 * Candidate for allocator: the first live VM of the shard's region in
 * rendezvous hashing order, or NULL.
 */
const struct member_row *alcr_candidate(struct core *c,
					const struct shard_row *shard);
/* Records that a member has not heard an epoch's allocator for silent_ns. */
void alcr_record_silence(struct core *c, struct hnd shard, uint64_t member,
			 uint64_t epoch, int64_t silent_ns);
/* A majority of the voters has not heard the allocator for limit_ns. */
bool alcr_majority_silent(struct core *c, struct hnd shard_h, int64_t limit_ns);
/* The member has lately reported that it hears, or is, the allocator. */
bool alcr_is_heard_by(struct core *c, struct hnd shard_h, uint64_t member,
		      int64_t limit_ns);
/*
 * Has the voters report their shares and when they heard the allocator;
 * rate-limited.
 */
void alcr_query(struct core *c, struct shard_row *shard);
/*
 * Tells one member that this VM is the allocator, by a grant of sequence 0,
 * which changes no share.
 */
void alcr_announce(struct core *c, const struct shard_row *shard,
		   const struct member_row *to);
/*
 * Reconciles the grants of earlier epochs in a new one, and contacts members
 * where the allocator needs a proof of contact.
 */
void alcr_keep_contact(struct core *c, struct shard_row *shard);
/*
 * A majority of the voters has heard this allocator at or after the time that
 * is returned; 0 if none has.
 */
int64_t alcr_majority_contact_ns(struct core *c, struct shard_row *shard);
/* One and the same majority has heard it without a gap since since_ns. */
bool alcr_majority_steady_since(struct core *c, struct shard_row *shard,
				int64_t since_ns);

#endif
