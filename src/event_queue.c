#include "event_queue.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

int evq_init(struct evq *q)
{
	q->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (q->fd < 0)
		return -1;
	pthread_mutex_init(&q->lock, NULL);
	q->head = NULL;
	q->tail = &q->head;
	return 0;
}

void evq_free(struct evq *q)
{
	close(q->fd);
	pthread_mutex_destroy(&q->lock);
}

void evq_post(struct evq *q, struct evq_item *item)
{
	uint64_t one = 1;
	int was_empty;

	item->next = NULL;
	pthread_mutex_lock(&q->lock);
	was_empty = !q->head;
	*q->tail = item;
	q->tail = &item->next;
	pthread_mutex_unlock(&q->lock);
	if (was_empty && write(q->fd, &one, sizeof(one)) < 0)
		return; /* the counter is full, so fd is readable anyway */
}

void evq_run(struct evq *q)
{
	struct evq_item *item;
	uint64_t count;

	if (read(q->fd, &count, sizeof(count)) < 0)
		count = 0;
	pthread_mutex_lock(&q->lock);
	item = q->head;
	q->head = NULL;
	q->tail = &q->head;
	pthread_mutex_unlock(&q->lock);
	while (item) {
		struct evq_item *next = item->next;

		item->run(item->ctx);
		item = next;
	}
}
