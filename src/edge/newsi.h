#ifndef NEWSI_H
#define NEWSI_H

#include "mpk.h"
#include "news.h"

/*
 * What the parts of the messages between VMs share: news.c (sockets, servers,
 * loads, notices) and newsm.c (membership).
 */

/* Fits an Ethernet frame with its headers. */
#define NEWS_MAX_BYTES 1400

enum news_kind {
	NEWS_OUTCOME = 1,
	NEWS_TRIAL,
	NEWS_MEMBERS,
	/* As members, and asks for the receiver's in return. */
	NEWS_ASK,
	/* What a reader of the store has read. */
	NEWS_NOTICE,
	NEWS_LOAD,
	/* State of a region; a VM that hears it from there passes it on. */
	NEWS_SUMMARY,
	/* A server of the sender's region was ejected; passed on likewise. */
	NEWS_EJECTION,
	NEWS_LAST = NEWS_EJECTION,
};

struct news_datagram {
	char bytes[NEWS_MAX_BYTES];
	struct mpk_writer out;
};

/* Begins a message of that many fields beside its kind and sender. */
void news_begin(struct edge *e, struct news_datagram *d, enum news_kind kind,
		uint32_t fields);
void news_send(struct edge *e, const struct news_datagram *d,
	       const struct sockaddr_in *to);
void news_send_region(struct edge *e, const struct news_datagram *d);
/* The rest of a message of that kind; asked says that the list is wanted. */
void news_hear_members(struct edge *e, struct mpk_reader *in,
		       const struct sockaddr_in *from, bool asked);

#endif
