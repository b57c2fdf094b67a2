#ifndef EVENT_QUEUE_H
#define EVENT_QUEUE_H

#include <pthread.h>

/*
 * Queue of callbacks that other threads post to the core thread. An item is
 * owned by the poster and must stay valid until its callback is called; the
 * queue allocates no memory. fd is readable while items are queued.
 */
struct evq_item {
	struct evq_item *next;
	/* Called on the core thread. */
	void (*run)(void *ctx);
	void *ctx;
};

struct evq {
	pthread_mutex_t lock;
	struct evq_item *head;
	struct evq_item **tail;
	int fd;
};

/* Returns 0, or -1 if no file descriptor can be created. */
int evq_init(struct evq *q);
void evq_free(struct evq *q);
/* Adds an item at the end; for any thread. */
void evq_post(struct evq *q, struct evq_item *item);
/* Runs all queued items in order; for the core thread only. */
void evq_run(struct evq *q);

#endif
