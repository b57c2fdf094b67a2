#ifndef PEER_H
#define PEER_H

#include "err.h"
#include "msg.h"
#include "sett.h"

/*
 * ZeroMQ between entry VMs: one PULL socket bound, one PUSH socket for each
 * peer. With CURVE keys only holders of the fleet's key can send. Used by the
 * core thread only; never blocks.
 */
struct peer;

struct peer_stats {
	uint64_t sent_messages;
	uint64_t sent_bytes;
	uint64_t received_messages;
	uint64_t received_bytes;
	/* Undecodable, wrong key or wrong version. */
	uint64_t rejected;
	/* Queue to a peer was full. */
	uint64_t dropped;
};

enum err peer_open(struct peer **out, const struct sett *sett);
void peer_close(struct peer *p);
/* File descriptor that becomes readable (edge-triggered, see peer_receive). */
int peer_fd(const struct peer *p);
void peer_send(struct peer *p, struct str host, uint16_t port,
	       const struct msg *m);
/*
 * Sends what waits for a new connection; true while something still does, so
 * that the caller comes back within a few milliseconds.
 */
bool peer_flush(struct peer *p);
/*
 * Hands over all messages that wait. Must be called after every poll and
 * before sleeping, since ZeroMQ's descriptor is edge-triggered.
 */
void peer_receive(struct peer *p,
		  void (*on_msg)(void *ctx, const struct msg *m), void *ctx);
void peer_get_stats(const struct peer *p, struct peer_stats *out);
/* Appends the counters as Prometheus text. */
void peer_add_metrics(const struct peer *p, struct strbuf *out);

#endif
