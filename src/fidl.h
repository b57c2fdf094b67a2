#ifndef FIDL_H
#define FIDL_H

#include <pthread.h>
#include <stdbool.h>
#include <sys/queue.h>

/*
 * Connections of callers, each of which occupies a worker thread. When threads
 * run short, the connection that has been idle longest is closed, so that idle
 * callers do not block new ones.
 */
struct fidl_conn {
	TAILQ_ENTRY(fidl_conn) link;
	int fd;
	/* Waits for its next request. */
	bool idle;
};

TAILQ_HEAD(fidl_list, fidl_conn);

struct fidl {
	pthread_mutex_t lock;
	/* Longest idle first. */
	struct fidl_list idle;
	struct fidl_list busy;
	/* Connections in both lists. */
	unsigned count;
	/* Idle connections are closed while count exceeds this. */
	unsigned limit;
	bool closing;
};

void fidl_init(struct fidl *l, unsigned threads);
void fidl_free(struct fidl *l);
/* A worker has accepted a connection; false if the server is closing. */
bool fidl_begin(struct fidl *l, struct fidl_conn *conn);
/* The worker is about to close the connection. */
void fidl_end(struct fidl *l, struct fidl_conn *conn);
/* The connection waits for a request; false if it must be closed instead. */
bool fidl_idle(struct fidl *l, struct fidl_conn *conn);
/* A request has arrived. */
void fidl_busy(struct fidl *l, struct fidl_conn *conn);
/* Closes idle connections and rejects new ones. */
void fidl_close(struct fidl *l);
/*
 * Aborts requests in flight: their workers see the caller's end of the
 * connection as closed. Only the receiving side is shut down, since a FIN to
 * the caller could make a truncated answer look complete.
 */
void fidl_abort_busy(struct fidl *l);

#endif
