#ifndef NEWSI_H
#define NEWSI_H

#include "mpk.h"
#include "news.h"

/*
 * What the parts of the messages between VMs share: news.c (sockets, servers,
 * loads, notices) and newsm.c (membership).
 */

/* Fits an Ethernet frame with its headers. */
#define EMSG_MAX_BYTES 1400

enum emsg_kind {
	EMSG_OUTCOME = 1,
	EMSG_TRIAL,
	EMSG_MEMBERS,
	/* As members, and asks for the receiver's in return. */
	EMSG_MEMBERS_REQUEST,
	/* What a reader of the store has read. */
	EMSG_NOTICE,
	EMSG_LOAD,
	/* State of a region; a VM that hears it from there passes it on. */
	EMSG_SUMMARY,
	/* A server of the sender's region was ejected; passed on likewise. */
	EMSG_EJECTION,
	EMSG_LAST = EMSG_EJECTION,
};

struct emsg_datagram {
	char bytes[EMSG_MAX_BYTES];
	struct mpk_out out;
};

/* Begins a message of that many fields beside its kind and sender. */
void emsg_begin(struct edge *e, struct emsg_datagram *d, enum emsg_kind kind,
		uint32_t fields);
void emsg_send(struct edge *e, const struct emsg_datagram *d,
	       const struct sockaddr_in *to);
void emsg_send_region(struct edge *e, const struct emsg_datagram *d);
/* The rest of a message of that kind; reply_requested says that the list is
 * wanted. */
void emsg_on_members(struct edge *e, struct mpk_in *in,
		     const struct sockaddr_in *from, bool reply_requested);

#endif
