#include "frontend_connections.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

/* One thread in this many is reserved for new connections. */
#define RESERVE_DIVISOR 8

void conns_init(struct conns *l, unsigned threads)
{
	pthread_mutex_init(&l->lock, NULL);
	TAILQ_INIT(&l->idle);
	TAILQ_INIT(&l->busy);
	l->count = 0;
	l->limit = threads - threads / RESERVE_DIVISOR;
	l->closing = false;
}

void conns_free(struct conns *l)
{
	pthread_mutex_destroy(&l->lock);
}

static void set_idle(struct conns *l, struct conns_item *conn, bool idle)
{
	if (conn->idle == idle)
		return;
	if (idle) {
		TAILQ_REMOVE(&l->busy, conn, link);
		TAILQ_INSERT_TAIL(&l->idle, conn, link);
	} else {
		TAILQ_REMOVE(&l->idle, conn, link);
		TAILQ_INSERT_TAIL(&l->busy, conn, link);
	}
	conn->idle = idle;
}

static bool has_input(const struct conns_item *conn)
{
	int count = 0;

	return !ioctl(conn->fd, FIONREAD, &count) && count > 0;
}

/*
 * Skips connections whose next request has already arrived. Moves the closed
 * one to the busy list, so that it is not closed again.
 */
static void close_longest_idle(struct conns *l)
{
	struct conns_item *conn;

	TAILQ_FOREACH(conn, &l->idle, link)
	{
		if (has_input(conn))
			continue;
		shutdown(conn->fd, SHUT_RDWR);
		set_idle(l, conn, false);
		return;
	}
}

bool conns_add(struct conns *l, struct conns_item *conn)
{
	bool open;

	pthread_mutex_lock(&l->lock);
	conn->idle = false;
	TAILQ_INSERT_TAIL(&l->busy, conn, link);
	if (++l->count > l->limit)
		close_longest_idle(l);
	open = !l->closing;
	pthread_mutex_unlock(&l->lock);
	return open;
}

void conns_remove(struct conns *l, struct conns_item *conn)
{
	pthread_mutex_lock(&l->lock);
	TAILQ_REMOVE(conn->idle ? &l->idle : &l->busy, conn, link);
	l->count--;
	pthread_mutex_unlock(&l->lock);
}

bool conns_set_idle(struct conns *l, struct conns_item *conn)
{
	bool open;

	pthread_mutex_lock(&l->lock);
	open = !l->closing;
	if (open) {
		set_idle(l, conn, true);
		if (l->count > l->limit)
			close_longest_idle(l);
		open = conn->idle;
	}
	pthread_mutex_unlock(&l->lock);
	return open;
}

void conns_set_busy(struct conns *l, struct conns_item *conn)
{
	pthread_mutex_lock(&l->lock);
	set_idle(l, conn, false);
	pthread_mutex_unlock(&l->lock);
}

void conns_close(struct conns *l)
{
	struct conns_item *conn;

	pthread_mutex_lock(&l->lock);
	l->closing = true;
	TAILQ_FOREACH(conn, &l->idle, link)
	shutdown(conn->fd, SHUT_RDWR);
	pthread_mutex_unlock(&l->lock);
}

void conns_abort_busy(struct conns *l)
{
	struct conns_item *conn;

	pthread_mutex_lock(&l->lock);
	TAILQ_FOREACH(conn, &l->busy, link)
	shutdown(conn->fd, SHUT_RD);
	pthread_mutex_unlock(&l->lock);
}
