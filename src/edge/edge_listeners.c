#include "edge_listeners.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller_memory.h"
#include "edge_caller_connection.h"
#include "logs.h"

#define LISTEN_BACKLOG 1024
/* Accepted per event, so that new connections do not delay open ones. */
#define ACCEPT_BATCH 32

static int listeners[EDGE_LISTENER_CONTROL + 1] = {-1, -1, -1, -1};

static bool accept_one(struct edge *e, enum edge_listener listener)
{
	int fd = accept4(listeners[listener], NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0 && (errno == EMFILE || errno == ENFILE))
		logs_msg(LOGS_WARNING, "accept",
			 "cannot accept a connection: out of file descriptors");
	if (fd < 0)
		return false;
	if (listener == EDGE_LISTENER_CALLERS)
		cmem_make_room(e);
	cconn_add(e, listener, fd);
	return true;
}

/* The listener would report its queue again and again. */
static void pause_accepting(struct edge *e)
{
	e->accepting_paused = true;
	ev_modify(&e->ev, listeners[EDGE_LISTENER_CALLERS], EV_LISTEN,
		  (struct hnd){EDGE_LISTENER_CALLERS, 1}, 0);
}

void lsn_resume_accepting(struct edge *e)
{
	e->accepting_paused = false;
	if (listeners[EDGE_LISTENER_CALLERS] >= 0)
		ev_modify(&e->ev, listeners[EDGE_LISTENER_CALLERS], EV_LISTEN,
			  (struct hnd){EDGE_LISTENER_CALLERS, 1}, EPOLLIN);
}

static void on_listener_event(void *ctx, struct hnd h, uint32_t events)
{
	enum edge_listener listener = (enum edge_listener)h.slot;
	struct edge *e = ctx;
	int i;

	for (i = 0; i < ACCEPT_BATCH && listeners[listener] >= 0; i++) {
		if (listener == EDGE_LISTENER_CALLERS && !cmem_may_accept(e)) {
			pause_accepting(e);
			return;
		}
		if (!accept_one(e, listener))
			return;
	}
}

static enum err listen_on(struct edge *e, enum edge_listener listener,
			  const struct sockaddr_in *addr)
{
	int one = 1, fd;

	if (!addr->sin_port)
		return ERR_OK;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	listeners[listener] = fd;
	if (bind(fd, (const void *)addr, sizeof(*addr)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		logs_msg(LOGS_ERROR, "listen", "cannot listen on port %d: %s",
			 ntohs(addr->sin_port), strerror(errno));
		return ERR_IO;
	}
	return ev_add(&e->ev, fd, EV_LISTEN, (struct hnd){listener, 1},
		      EPOLLIN);
}

enum err lsn_start(struct edge *e)
{
	ev_set_handler(&e->ev, EV_LISTEN, on_listener_event, e);
	if (listen_on(e, EDGE_LISTENER_CALLERS, &e->settings.callers) ||
	    listen_on(e, EDGE_LISTENER_READY, &e->settings.ready) ||
	    listen_on(e, EDGE_LISTENER_DIRECTORY, &e->settings.directory) ||
	    listen_on(e, EDGE_LISTENER_CONTROL, &e->settings.control))
		return ERR_IO;
	return ERR_OK;
}

static void close_listener(enum edge_listener listener)
{
	if (listeners[listener] >= 0)
		close(listeners[listener]);
	listeners[listener] = -1;
}

void lsn_stop_accepting(struct edge *e)
{
	enum edge_listener listener = EDGE_LISTENER_CALLERS;

	/* Closing the socket would reset the connections in its queue, whose
	 * callers may have sent a request. */
	while (listeners[listener] >= 0 && cmem_may_accept(e) &&
	       accept_one(e, listener))
		;
	close_listener(listener);
}

void lsn_stop(void)
{
	int i;

	for (i = 0; i <= EDGE_LISTENER_CONTROL; i++)
		close_listener((enum edge_listener)i);
}
