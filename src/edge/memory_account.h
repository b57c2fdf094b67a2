#ifndef MEMORY_ACCOUNT_H
#define MEMORY_ACCOUNT_H

#include <stdbool.h>

#include "entity_table.h"
#include "hash_index.h"

/*
 * Account of the bytes that a process holds for its callers: one holder for
 * each connection, and a sum for each address that they come from. It says when
 * reading pauses, and which connection is given up when that is not enough. The
 * sums are kept at each change; holders are scanned only when one is given up.
 *
 * Above 3/4 of the limit, reading pauses for large holders of an address that
 * has more than a quarter of the limit, and above 7/8 for all large holders.
 * Connections are given up above the limit, and when reading has had to pause
 * for MACC_PRESSURE_NS, since paused callers may never finish.
 */

/* A holder up to this size reads on while others are paused: most requests are
 * smaller. */
#define MACC_SMALL_BYTES 65536
/* Time for which reading pauses before connections are given up. Several round
 * trips, in which complete requests leave. */
#define MACC_PRESSURE_NS INT64_C(1000000000)
/* A body that has not grown for this long is given up first. Longer than a
 * retransmission. */
#define MACC_STALLED_NS INT64_C(2000000000)

/* A connection that was accepted or answered less than this ago is not closed
 * before others for a new one: its request may be on its way. */
#define MACC_FRESH_NS INT64_C(300000000)

/* What a connection does, in the order in which it is given up. */
enum macc_state {
	/* Its request's body is being received. */
	MACC_BODY,
	/* Its request is complete and was not sent to a backend server. */
	MACC_UNSENT,
	/* Its response is not read. */
	MACC_RESPONSE,
	/* It has no request, or a part of a head. */
	MACC_IDLE,
	/* Its request is at a backend server. */
	MACC_SENT,
};

struct macc_usage {
	enum macc_state state;
	uint64_t bytes;
	/* Counter that changes when the connection makes progress. */
	uint64_t progress;
	/* It cannot make progress, as this process does not read. */
	bool paused;
	/* It has no descriptor of its own. */
	bool no_descriptor;
};

/* A connection. */
struct macc_holder {
	/* Its row in the caller's table. */
	struct hnd conn;
	struct hnd address;
	struct macc_usage usage;
	/* Last progress, change of state or pause. */
	int64_t progress_ns;
};

/* An address that connections come from. */
struct macc_address {
	uint64_t key;
	uint64_t bytes;
	uint32_t holders;
};

struct macc {
	/* 0 for none. */
	uint64_t limit;
	uint64_t held;
	struct tab holders;
	struct tab addresses;
	struct idx address_by_key;
	/* Since when more than 3/4 of the limit is held; 0 if it is not. */
	int64_t pressure_since_ns;
	/* Connections are being given up until no more than this is held; 0
	 * for none. */
	uint64_t goal;
};

void macc_init(struct macc *m);
void macc_free(struct macc *m);
void macc_set_limit(struct macc *m, uint64_t limit, int64_t now_ns);
struct hnd macc_add(struct macc *m, struct hnd conn, uint32_t address,
		    int64_t now_ns);
void macc_remove(struct macc *m, struct hnd holder, int64_t now_ns);
void macc_update(struct macc *m, struct hnd holder,
		 const struct macc_usage *usage, int64_t now_ns);
/* True while the connection must not be read. */
bool macc_must_pause(const struct macc *m, struct hnd holder);
/* The connection to give up now; HND_NONE if there is no need, or none. */
struct hnd macc_choose(struct macc *m, int64_t now_ns);
/* Connection to close for a new one, of the address with most connections: idle
 * or with a body or response that has stalled, or else with a request that was
 * not sent; without progress for the longest time; HND_NONE for none. */
struct hnd macc_choose_for_room(const struct macc *m, int64_t now_ns);
/* True for a body that the caller has not continued for that time. */
bool macc_is_stalled(const struct macc_holder *h, int64_t now_ns,
		     int64_t limit_ns);
/* When macc_choose() may have something to give up; INT64_MAX for never. */
int64_t macc_next_due(const struct macc *m);

#endif
