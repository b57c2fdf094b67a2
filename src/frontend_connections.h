#ifndef FRONTEND_CONNECTIONS_H
#define FRONTEND_CONNECTIONS_H

#include <pthread.h>
#include <stdbool.h>
#include <sys/queue.h>

/*
 * Connections of callers, each of which occupies a worker thread. When threads
 * run short, the connection that has been idle longest is closed, so that idle
 * callers do not block new ones.
 */
struct conns_item {
	TAILQ_ENTRY(conns_item) link;
	int fd;
	/* The worker waits for the next request on it. */
	bool idle;
};

TAILQ_HEAD(conns_list, conns_item);

struct conns {
	pthread_mutex_t lock;
	/* Longest idle first. */
	struct conns_list idle;
	struct conns_list busy;
	/* Connections in both lists. */
	unsigned count;
	/* Idle connections are closed while count exceeds this. */
	unsigned limit;
	bool closing;
};

void conns_init(struct conns *l, unsigned threads);
void conns_free(struct conns *l);
/*
 * Adds an accepted connection as busy. False after conns_close(): it must be
 * removed and closed without serving it.
 */
bool conns_add(struct conns *l, struct conns_item *conn);
/* Must be called before the worker closes the descriptor. */
void conns_remove(struct conns *l, struct conns_item *conn);
/* The connection waits for a request; false if it must be closed instead. */
bool conns_set_idle(struct conns *l, struct conns_item *conn);
/* A whole request head has arrived on the connection. */
void conns_set_busy(struct conns *l, struct conns_item *conn);
/* Shuts idle connections down; new ones are rejected from now on. */
void conns_close(struct conns *l);
/*
 * Aborts requests in flight: their workers see the caller's end of the
 * connection as closed. Only the receiving side is shut down, since a FIN to
 * the caller could make a truncated response look complete.
 */
void conns_abort_busy(struct conns *l);

#endif
