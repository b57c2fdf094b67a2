#ifndef MEMBERSHIP_GOSSIP_H
#define MEMBERSHIP_GOSSIP_H

#include "core.h"

/*
 * Membership gossip that this VM sends. The number and size of messages do not
 * grow with the fleet.
 */

/* Member records in one message, at most. */
#define GOSS_MAX_RECORDS 12
/*
 * Members of other cells in this VM's table, at most; enough for a fleet of two
 * regions, a bound for larger ones.
 */
#define GOSS_OTHER_CELLS_MAX 64
/*
 * A gossip round of one second is divided into this many steps. If a heartbeat
 * waited for a whole second at each hop, it could be older than MBR_SILENT_NS
 * when it arrives.
 */
#define GOSS_STEPS_PER_ROUND 3

/* Sends the messages of one step. */
void goss_step(struct core *c);
/* Sends this VM's record to a few members without waiting for a step. */
void goss_announce(struct core *c);
/* Sends as many records as fit to a member that this VM has just learned of. */
void goss_send_to_new_member(struct core *c, const struct member_row *to);

#endif
