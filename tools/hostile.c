/*
 * Crowd of callers that stay outside the limits, or inside them and never
 * finish. Opens COUNT connections to ADDRESS:PORT, sends on each what KIND
 * names, prints "settled" when no connection has made progress for a while, and
 * keeps all of them open until it is stopped, at most MAX_RUN_MS.
 *
 *   hostile KIND COUNT ADDRESS:PORT
 */
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counted_string.h"
#include "edge_settings.h"
#include "timer.h"

#define MAX_CALLERS 1000
#define MAX_RUN_MS 120000
/* Longer than a VM that is busy with the other callers leaves one alone. */
#define SETTLED_MS 1500
#define POLL_MS 5

static const struct kind {
	const char *name;
	/* Bytes of a body, or 0 for a kind without a body. */
	size_t body_bytes;
	/* Size of a chunk; 0 for a body with a length. */
	size_t chunk_bytes;
	/* Bytes that are announced, or chunked: that the end is sent. */
	size_t announced;
	/* Most bytes that a caller sends at once; 0 for no limit. */
	size_t piece_bytes;
	/* Copies of a whole request without a body. */
	size_t pipelined;
	bool half_head;
	/* The caller does not read. */
	bool deaf;
} kinds[] = {
	{"chunks-large", 2000000, 65536},
	{"chunks-one-byte", 700000, 1},
	{"over-announced", 6000000, 0, 1000000000},
	{"over-sent", 6000000, 65536},
	{"whole", 1000000, 0, 1000001},
	{"pieces", 1000000, 0, 1000001, 5000},
	{"large", 3900000, 0, 3900001},
	{"half-head", .half_head = true},
	{"pipelined", .pipelined = 800, .deaf = true},
	{"unread", 3000000, 0, 3000000, .deaf = true},
	{"silent"},
};

struct caller {
	int fd;
	size_t sent;
};

static struct caller callers[MAX_CALLERS];
static struct pollfd polled[MAX_CALLERS];

static void add_head(const struct kind *k, struct strbuf *out)
{
	strbuf_addf(out,
		    "%s HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: hostile\r\nDeadline-Ms: 60000\r\n",
		    k->body_bytes ? "POST /unsafe/x" : "GET /safe/x");
	if (k->chunk_bytes)
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n"));
	else if (k->body_bytes)
		strbuf_addf(out, "Content-Length: %zu\r\n", k->announced);
}

static void add_body(const struct kind *k, struct strbuf *out)
{
	size_t left = k->body_bytes;

	while (left) {
		size_t n = k->chunk_bytes && k->chunk_bytes < left
				   ? k->chunk_bytes
				   : left;

		if (k->chunk_bytes)
			strbuf_addf(out, "%zx\r\n", n);
		strbuf_grow(out, n);
		memset(out->ptr + out->len, 'x', n);
		out->len += n;
		if (k->chunk_bytes)
			strbuf_add(out, STR("\r\n"));
		left -= n;
	}
}

/* All that one caller sends. */
static void make_stream(const struct kind *k, struct strbuf *out)
{
	size_t i;

	if (k->half_head) {
		add_head(k, out);
		strbuf_add(out, STR("X-Pad: "));
		while (out->len < 16000)
			strbuf_add_char(out, 'x');
	}
	for (i = 0; i < k->pipelined; i++) {
		add_head(k, out);
		strbuf_add(out, STR("\r\n"));
	}
	if (!k->body_bytes)
		return;
	add_head(k, out);
	strbuf_add(out, STR("\r\n"));
	add_body(k, out);
}

static int connect_to(const struct sockaddr_in *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (fd >= 0 && connect(fd, (const void *)addr, sizeof(*addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* True if the caller has sent or read something. */
static bool serve(const struct kind *k, struct caller *c, struct pollfd *p,
		  struct str stream)
{
	static char ignored[65536];
	struct str rest = str_skip(stream, c->sent);
	bool progress = false;
	ssize_t n = 0;

	if (k->piece_bytes && rest.len > k->piece_bytes)
		rest.len = k->piece_bytes;
	if ((p->revents & POLLOUT) && rest.len) {
		n = send(c->fd, rest.ptr, rest.len,
			 MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n > 0)
			c->sent += (size_t)n;
		progress = n > 0;
	}
	if (p->revents & POLLIN) {
		n = recv(c->fd, ignored, sizeof(ignored), MSG_DONTWAIT);
		progress |= n > 0;
		if (!n)
			n = -1;
		else if (n < 0 && errno == EAGAIN)
			n = 0;
	}
	if (n < 0 || (p->revents & (POLLERR | POLLHUP))) {
		close(c->fd);
		c->fd = -1;
	}
	p->fd = c->fd;
	p->events = k->deaf ? 0 : POLLIN;
	if (c->sent < stream.len)
		p->events |= POLLOUT;
	return progress;
}

static void run(const struct kind *k, size_t count, struct str stream)
{
	int64_t end_ns = tmr_now() + MAX_RUN_MS * NS_PER_MS;
	int64_t progress_ns = tmr_now();
	bool settled = false;

	while (tmr_now() < end_ns) {
		size_t i;

		if (poll(polled, count, POLL_MS) < 0)
			return;
		for (i = 0; i < count; i++)
			if (callers[i].fd >= 0 &&
			    serve(k, &callers[i], &polled[i], stream))
				progress_ns = tmr_now();
		if (!settled &&
		    tmr_now() - progress_ns > SETTLED_MS * NS_PER_MS) {
			settled = true;
			printf("settled\n");
			fflush(stdout);
		}
		if (k->piece_bytes)
			poll(NULL, 0, POLL_MS);
	}
}

int main(int argc, char **argv)
{
	const struct kind *k = NULL;
	struct sockaddr_in addr;
	struct strbuf stream;
	size_t i, count;

	for (i = 0; argc == 4 && i < sizeof(kinds) / sizeof(kinds[0]); i++)
		if (!strcmp(kinds[i].name, argv[1]))
			k = &kinds[i];
	count = k ? strtoul(argv[2], NULL, 10) : 0;
	if (!count || count > MAX_CALLERS ||
	    eset_parse_address(str_from(argv[3]), &addr)) {
		fprintf(stderr, "use: hostile KIND COUNT ADDRESS:PORT\n");
		return 2;
	}
	strbuf_init(&stream);
	make_stream(k, &stream);
	for (i = 0; i < count; i++) {
		callers[i].fd = connect_to(&addr);
		polled[i].fd = callers[i].fd;
		polled[i].events = POLLIN | POLLOUT;
	}
	run(k, count, strbuf_view(&stream));
	strbuf_free(&stream);
	return 0;
}
