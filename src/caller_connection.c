#include "caller_connection.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "timer.h"

/* Limits for discarding input after an early response. */
#define LINGER_BYTES (1 << 20)
#define LINGER_NS (500 * NS_PER_MS)

struct str caller_view(const struct caller *c)
{
	return (struct str){c->buf + c->pos, c->len - c->pos};
}

void caller_consume(struct caller *c, size_t n)
{
	c->pos += n;
	if (c->pos == c->len)
		c->pos = c->len = 0;
}

enum err caller_fill(struct caller *c, const struct io_wait *w)
{
	size_t n = 0;
	enum err e;

	if (c->pos) {
		memmove(c->buf, c->buf + c->pos, c->len - c->pos);
		c->len -= c->pos;
		c->pos = 0;
	}
	if (c->len == c->size)
		return ERR_INVALID;
	e = io_recv(c->fd, c->buf + c->len, c->size - c->len, w, &n);
	if (e == ERR_IO || (!e && !n))
		return ERR_REFUSED;
	c->len += n;
	return e;
}

/*
 * connect() to AF_UNSPEC sends the reset at once and drops unsent bytes. A FIN
 * would make a body without a length look complete.
 */
void caller_reset(struct caller *c)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	if (connect(c->fd, &none, sizeof(none)))
		shutdown(c->fd, SHUT_RD);
}

/*
 * A close with unread input would reset the connection, and the caller could
 * lose the response.
 */
void caller_finish(struct caller *c)
{
	struct io_wait w = {-1, -1, NULL, -1, tmr_now() + LINGER_NS};
	size_t total = 0, n = 1;

	shutdown(c->fd, SHUT_WR);
	while (total < LINGER_BYTES && n &&
	       !io_recv(c->fd, c->buf, c->size, &w, &n))
		total += n;
	shutdown(c->fd, SHUT_RD);
}
