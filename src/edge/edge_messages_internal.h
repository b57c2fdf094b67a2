#ifndef EDGE_MESSAGES_INTERNAL_H
#define EDGE_MESSAGES_INTERNAL_H

#include "messagepack.h"
#include "edge_messages.h"

/*
 * Internal interface of the messages between edge VMs, shared by
 * edge_messages.c (socket, servers, load, change notices),
 * edge_messages_gossip.c (membership) and edge_messages_quota.c (quotas).
 */

/* Fits an Ethernet frame together with the IP and UDP headers. */
#define EMSG_MAX_BYTES 1400

enum emsg_kind {
	EMSG_OUTCOME = 1,
	EMSG_TRIAL,
	EMSG_MEMBERS,
	/* As EMSG_MEMBERS, and requests all records of the receiver. */
	EMSG_MEMBERS_REQUEST,
	/* Change notice of a reader of the store. */
	EMSG_NOTICE,
	EMSG_LOAD,
	/* Summary of the sender's region; a receiver in another region
	 * forwards it to the VMs of its own. */
	EMSG_SUMMARY,
	/* Ejection of a server of the sender's region; forwarded likewise. */
	EMSG_EJECTION,
	/* A server said that it is leaving; forwarded likewise. */
	EMSG_LEAVING,
	/* Counts of teams of the sender. */
	EMSG_QUOTA,
	/* Counts of teams of the sender's region; forwarded likewise. */
	EMSG_QUOTA_REGION,
	EMSG_LAST = EMSG_QUOTA_REGION,
};

struct emsg_datagram {
	char bytes[EMSG_MAX_BYTES];
	struct mpk_writer out;
};

/* Begins a message with the common fields; that number of fields follows. */
void emsg_begin(struct edge *e, struct emsg_datagram *d, enum emsg_kind kind,
		uint32_t fields);
void emsg_send(struct edge *e, const struct emsg_datagram *d,
	       const struct sockaddr_in *to);
/* Broadcasts a message to the live VMs of this region. */
void emsg_send_to_peers(struct edge *e, const struct emsg_datagram *d);
/* Sends a message to that many random VMs of each other region. */
void emsg_send_to_other_regions(struct edge *e, const struct emsg_datagram *d,
				uint32_t targets);
/* Ages in milliseconds. */
void emsg_put_age(struct mpk_writer *out, int64_t age_ns);
int64_t emsg_get_age(struct mpk_reader *in);
/* Handles the fields of EMSG_QUOTA, and of EMSG_QUOTA_REGION if region. */
void emsg_on_quota(struct edge *e, struct mpk_reader *in, uint64_t sender,
		   bool region);
/* Handles the fields of EMSG_MEMBERS and EMSG_MEMBERS_REQUEST; replies with
 * all known records if reply_requested. */
void emsg_on_members(struct edge *e, struct mpk_reader *in,
		     const struct sockaddr_in *from, bool reply_requested);

#endif
