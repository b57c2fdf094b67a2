#ifndef EDGE_SOCKET_FIXTURE_H
#define EDGE_SOCKET_FIXTURE_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge_backend_connection.h"
#include "edge_caller_connection.h"
#include "edge_fixture.h"
#include "edge_run.h"
#include "request.h"

/*
 * An edge process with real sockets, for tests of its connections: one route,
 * one backend server that the test plays, and callers whose sockets the test
 * holds. The process runs during sfix_run() only.
 */
#define SFIX_ADDRESS "127.21.9.2"
#define SFIX_SLOTS 6

struct sfix {
	struct edge *e;
	struct hnd server;
	/* The backend server's listener. */
	int server_fd;
};

static inline struct sockaddr_in sfix_address(int fd)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t size = sizeof(addr);

	getsockname(fd, (void *)&addr, &size);
	return addr;
}

/* A small receive buffer, so that a large request is not sent at once. */
static inline int sfix_listen(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int bytes = 16384;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, SFIX_ADDRESS, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (bind(fd, (void *)&addr, sizeof(addr)) || listen(fd, 64))
		abort();
	return fd;
}

static inline void sfix_start(struct sfix *f, struct edge *e,
			      enum conf_request_kind kind)
{
	struct conf_route route = {
		.name = STR("r"),
		.host = STR("h"),
		.prefix = STR("/"),
		.kind = kind,
		.max_attempts = 1,
		.timeout_ns = 8 * NS_PER_S,
		.objective_ns = 2 * NS_PER_S,
	};
	struct conf_dest dest = {conf_service_key(FIX_SERVICE), 1};
	struct srv_row *s;

	signal(SIGPIPE, SIG_IGN);
	fix_init(e);
	if (ev_init(&e->ev))
		abort();
	e->start_ns = e->ev.now_ns;
	e->settings.grace_ns = 2 * NS_PER_S;
	bconn_start(e);
	cconn_start(e);
	e->conf = conf_new();
	e->conf->limits = (struct conf_limits){
		.max_head_bytes = 16384,
		.max_body_bytes = 8 << 20,
		.head_timeout_ns = 3 * NS_PER_S,
		.idle_timeout_ns = 15 * NS_PER_S,
	};
	conf_add_route(e->conf, &route, &dest, 1);
	e->servers_known = true;
	f->e = e;
	f->server_fd = sfix_listen();
	s = fix_server(e, "i-0", "z0");
	s->addr = sfix_address(f->server_fd);
	s->slots = SFIX_SLOTS;
	srv_find(e, s->key, &f->server);
}

static inline void sfix_stop(struct sfix *f)
{
	cconn_stop(f->e);
	bconn_stop(f->e);
	req_sweep(f->e);
	ev_free(&f->e->ev);
	f->e->ev.timers = (struct tmr){0};
	tmr_init(&f->e->ev.timers);
	fix_free(f->e);
	close(f->server_fd);
}

/* A caller's connection; returns its non-blocking socket. Small buffers, so
 * that the process holds what the caller does not read. */
static inline int sfix_connect_caller(struct sfix *f)
{
	int listener = sfix_listen(), bytes = 16384;
	struct sockaddr_in addr = sfix_address(listener);
	int fd = socket(AF_INET, SOCK_STREAM, 0), accepted;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (connect(fd, (void *)&addr, sizeof(addr)))
		abort();
	accepted = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	close(listener);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	cconn_add(f->e, EDGE_LISTENER_CALLERS, accepted);
	return fd;
}

/* The next connection to the backend server; -1 if there is none. */
static inline int sfix_accept(struct sfix *f)
{
	int fd;

	fcntl(f->server_fd, F_SETFL, O_NONBLOCK);
	fd = accept4(f->server_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	return fd;
}

struct sfix_loop {
	struct edge *e;
	int64_t until_ns;
	/* The process has ended. */
	bool ended;
};

static inline void sfix_tick(void *ctx, int64_t now_ns)
{
	struct sfix_loop *loop = ctx;

	edge_tick(loop->e, now_ns);
	loop->ended |= loop->e->ev.stop;
	loop->e->ev.stop |= now_ns >= loop->until_ns;
}

static inline int64_t sfix_next_due(void *ctx)
{
	struct sfix_loop *loop = ctx;
	int64_t due = edge_next_due(loop->e);

	return due < loop->until_ns ? due : loop->until_ns;
}

/* True if the process ended. */
static inline bool sfix_run(struct sfix *f, int ms)
{
	struct sfix_loop loop = {f->e, tmr_now() + ms * NS_PER_MS, false};

	f->e->ev.stop = false;
	ev_run(&f->e->ev, &(struct ev_opts){.tick = sfix_tick,
					    .next_due = sfix_next_due,
					    .ctx = &loop});
	return loop.ended;
}

/* Appends what the socket holds; 0 once the peer has closed it, an error number
 * after a reset, EAGAIN while it is open. */
static inline int sfix_receive(int fd, struct strbuf *out)
{
	for (;;) {
		ssize_t n;

		strbuf_grow(out, 65536);
		n = recv(fd, out->ptr + out->len, 65536, MSG_DONTWAIT);
		if (n <= 0)
			return n < 0 ? errno : 0;
		out->len += (size_t)n;
	}
}

#endif
