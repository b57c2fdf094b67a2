#ifndef PEER_TRANSPORT_H
#define PEER_TRANSPORT_H

#include "error_code.h"
#include "peer_messages.h"
#include "entry_settings.h"

/*
 * ZeroMQ transport between entry VMs: one bound PULL socket and a PUSH socket
 * for each peer. With CURVE keys, only VMs that have the fleet's secret key can
 * send. For the core thread only; never blocks.
 */
struct peer;

struct peer_stats {
	uint64_t sent_messages;
	uint64_t sent_bytes;
	uint64_t received_messages;
	uint64_t received_bytes;
	/* Malformed message, wrong key or wrong version. */
	uint64_t rejected;
	/* Not sent: the queue to the peer was full, or it was not connected. */
	uint64_t dropped;
};

enum err peer_open(struct peer **out, const struct sett *sett);
void peer_close(struct peer *p);
/* Descriptor to poll for input; it is edge-triggered, see peer_receive(). */
int peer_fd(const struct peer *p);
void peer_send(struct peer *p, struct str host, uint16_t port,
	       const struct msg *m);
/*
 * Sends messages that were queued for a new connection. True while some are
 * left; the function has to be called again within a few milliseconds.
 */
bool peer_flush(struct peer *p);
/*
 * Calls on_msg for all received messages. Must be called after every poll and
 * before the next one, since ZeroMQ's descriptor is edge-triggered.
 */
void peer_receive(struct peer *p,
		  void (*on_msg)(void *ctx, const struct msg *m), void *ctx);
void peer_get_stats(const struct peer *p, struct peer_stats *out);
/* Appends the counters as Prometheus text. */
void peer_add_metrics(const struct peer *p, struct strbuf *out);

#endif
