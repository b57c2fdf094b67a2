#include "health_probe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metrics.h"
#include "http_request.h"

#define MAX_PROBES 64
#define PROBE_TIMEOUT_NS NS_PER_S
#define MAX_RESPONSE 4096
#define MAX_PATH 1024

/*
 * A probe goes from free to requested (set by the core's thread), running and
 * done (probe thread), and back to free (core's thread).
 */
enum prb_state {
	PRB_FREE,
	PRB_REQUESTED,
	PRB_RUNNING,
	PRB_DONE,
};

struct prb_probe {
	struct prb *prb;
	enum prb_state state;
	struct hnd backend;
	char host[64];
	uint16_t port;
	struct strbuf request;
	size_t sent;
	int fd;
	int64_t started_ns;
	http_parser parser;
	char response[MAX_RESPONSE];
	size_t response_len;
	struct str field;
	bool draining;
	bool complete;
	bool ok;
	int64_t latency_ns;
	struct evq_item item;
};

struct prb {
	struct evq *queue;
	struct core *core;
	pthread_t thread;
	pthread_mutex_t lock;
	int wake_fd;
	bool stopping;
	struct prb_probe probes[MAX_PROBES];
};

static void set_state(struct prb_probe *p, enum prb_state state)
{
	pthread_mutex_lock(&p->prb->lock);
	p->state = state;
	pthread_mutex_unlock(&p->prb->lock);
}

static enum prb_state get_state(struct prb_probe *p)
{
	enum prb_state state;

	pthread_mutex_lock(&p->prb->lock);
	state = p->state;
	pthread_mutex_unlock(&p->prb->lock);
	return state;
}

static int on_field(http_parser *parser, const char *at, size_t n)
{
	((struct prb_probe *)parser->data)->field = (struct str){at, n};
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct prb_probe *p = parser->data;
	struct str value = {at, n};

	if (str_eq_nocase(p->field, STR("x-draining")) &&
	    str_eq(value, STR("1")))
		p->draining = true;
	return 0;
}

/* Instead of the drain header, a server may have "draining" in the body. */
static int on_body(http_parser *parser, const char *at, size_t n)
{
	if (parser->status_code == 200 && memmem(at, n, "draining", 8))
		((struct prb_probe *)parser->data)->draining = true;
	return 0;
}

static int on_complete(http_parser *parser)
{
	((struct prb_probe *)parser->data)->complete = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/*
 * Parses the whole response again after each read, so that on_body() doesn't
 * miss a word that two reads split.
 */
static void parse_response(struct prb_probe *p)
{
	http_parser_init(&p->parser, HTTP_RESPONSE);
	p->parser.data = p;
	p->field = STR_NONE;
	p->draining = false;
	p->complete = false;
	http_parser_execute(&p->parser, &parser_settings, p->response,
			    p->response_len);
}

static void report_result(void *ctx)
{
	struct prb_probe *p = ctx;
	struct prb *prb = p->prb;
	struct hnd backend = p->backend;
	bool ok = p->ok, draining = p->draining;
	int64_t latency_ns = p->latency_ns;

	/* Freed first, since core_on_probe() may request the next probe. */
	set_state(p, PRB_FREE);
	core_on_probe(prb->core, backend, ok, draining, latency_ns, tmr_now());
}

static void finish_probe(struct prb_probe *p)
{
	parse_response(p);
	/* Without a length, the end of the connection ends the response. */
	if (!p->complete)
		http_parser_execute(&p->parser, &parser_settings, NULL, 0);
	p->ok = p->parser.status_code == 200 &&
		(p->complete || p->response_len == MAX_RESPONSE) &&
		HTTP_PARSER_ERRNO(&p->parser) == HPE_OK &&
		tmr_now() - p->started_ns < PROBE_TIMEOUT_NS;
	p->latency_ns = tmr_now() - p->started_ns;
	if (p->fd >= 0)
		close(p->fd);
	p->fd = -1;
	set_state(p, PRB_DONE);
	p->item.run = report_result;
	p->item.ctx = p;
	evq_post(p->prb->queue, &p->item);
}

static void start_probe(struct prb_probe *p)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};

	p->started_ns = tmr_now();
	p->sent = 0;
	p->response_len = 0;
	p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	addr.sin_port = htons(p->port);
	set_state(p, PRB_RUNNING);
	ctr_add(CTR_PROBES, 1);
	if (p->fd < 0 || inet_pton(AF_INET, p->host, &addr.sin_addr) != 1 ||
	    (connect(p->fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	     errno != EINPROGRESS))
		finish_probe(p);
}

static void send_request(struct prb_probe *p)
{
	ssize_t n = send(p->fd, p->request.ptr + p->sent,
			 p->request.len - p->sent, MSG_NOSIGNAL);

	if (n > 0)
		p->sent += (size_t)n;
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		finish_probe(p);
}

/*
 * The response ends with the connection, at its length, or when the buffer is
 * full.
 */
static void receive_response(struct prb_probe *p)
{
	ssize_t n = recv(p->fd, p->response + p->response_len,
			 MAX_RESPONSE - p->response_len, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		p->response_len += (size_t)n;
		parse_response(p);
	}
	if (n <= 0 || p->complete || p->response_len == MAX_RESPONSE)
		finish_probe(p);
}

static void advance_probe(struct prb_probe *p, short revents, int64_t now)
{
	if (now - p->started_ns >= PROBE_TIMEOUT_NS)
		finish_probe(p);
	else if (revents && p->sent < p->request.len)
		send_request(p);
	else if (revents)
		receive_response(p);
}

/*
 * Starts requested probes and fills the poll list; returns the poll timeout in
 * milliseconds, -1 for none.
 */
static int prepare_poll(struct prb *prb, struct pollfd *fds)
{
	int64_t due = TMR_NEVER;
	int64_t left;
	size_t i;

	for (i = 0; i < MAX_PROBES; i++) {
		struct prb_probe *p = &prb->probes[i];

		if (get_state(p) == PRB_REQUESTED)
			start_probe(p);
		fds[i].fd = -1;
		fds[i].revents = 0;
		if (get_state(p) != PRB_RUNNING)
			continue;
		fds[i].fd = p->fd;
		fds[i].events = p->sent < p->request.len ? POLLOUT : POLLIN;
		if (p->started_ns + PROBE_TIMEOUT_NS < due)
			due = p->started_ns + PROBE_TIMEOUT_NS;
	}
	if (due == TMR_NEVER)
		return -1;
	left = due - tmr_now();
	return left > 0 ? (int)((left + NS_PER_MS - 1) / NS_PER_MS) : 0;
}

static bool is_stopping(struct prb *prb)
{
	bool stopping;

	pthread_mutex_lock(&prb->lock);
	stopping = prb->stopping;
	pthread_mutex_unlock(&prb->lock);
	return stopping;
}

static void *run_thread(void *arg)
{
	struct prb *prb = arg;
	struct pollfd fds[MAX_PROBES + 1];
	uint64_t wakeups;
	size_t i;

	while (!is_stopping(prb)) {
		int timeout = prepare_poll(prb, fds);
		int64_t now;

		fds[MAX_PROBES].fd = prb->wake_fd;
		fds[MAX_PROBES].events = POLLIN;
		if (poll(fds, MAX_PROBES + 1, timeout) < 0)
			continue;
		if (read(prb->wake_fd, &wakeups, sizeof(wakeups)) < 0)
			wakeups = 0;
		now = tmr_now();
		for (i = 0; i < MAX_PROBES; i++)
			if (get_state(&prb->probes[i]) == PRB_RUNNING)
				advance_probe(&prb->probes[i], fds[i].revents,
					      now);
	}
	return NULL;
}

static void wake(struct prb *prb)
{
	uint64_t one = 1;

	if (write(prb->wake_fd, &one, sizeof(one)) < 0)
		abort();
}

enum err prb_open(struct prb **out, struct evq *queue, struct core *core)
{
	struct prb *prb = calloc(1, sizeof(*prb));
	size_t i;

	if (!prb)
		return ERR_NOMEM;
	prb->queue = queue;
	prb->core = core;
	pthread_mutex_init(&prb->lock, NULL);
	for (i = 0; i < MAX_PROBES; i++) {
		prb->probes[i].prb = prb;
		prb->probes[i].fd = -1;
		strbuf_init(&prb->probes[i].request);
	}
	prb->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (prb->wake_fd < 0 ||
	    pthread_create(&prb->thread, NULL, run_thread, prb)) {
		if (prb->wake_fd >= 0)
			close(prb->wake_fd);
		free(prb);
		return ERR_IO;
	}
	*out = prb;
	return ERR_OK;
}

/* Results still in the event queue must not be run after this. */
void prb_close(struct prb *prb)
{
	size_t i;

	pthread_mutex_lock(&prb->lock);
	prb->stopping = true;
	pthread_mutex_unlock(&prb->lock);
	wake(prb);
	pthread_join(prb->thread, NULL);
	for (i = 0; i < MAX_PROBES; i++) {
		if (prb->probes[i].fd >= 0)
			close(prb->probes[i].fd);
		strbuf_free(&prb->probes[i].request);
	}
	close(prb->wake_fd);
	pthread_mutex_destroy(&prb->lock);
	free(prb);
}

/* Drops the probe if one of this server runs or all are in use. */
void prb_request(struct prb *prb, struct hnd backend, struct str host,
		 uint16_t port, struct str path)
{
	struct prb_probe *unused = NULL;
	size_t i;

	for (i = 0; i < MAX_PROBES; i++) {
		struct prb_probe *p = &prb->probes[i];

		if (get_state(p) == PRB_FREE)
			unused = unused ? unused : p;
		else if (hnd_eq(p->backend, backend))
			return;
	}
	if (!unused || path.len > MAX_PATH || !hreq_is_field_value(path))
		return;
	unused->backend = backend;
	unused->port = port;
	str_copy(unused->host, sizeof(unused->host), host);
	strbuf_reset(&unused->request);
	strbuf_addf(&unused->request,
		    "GET %.*s HTTP/1.1\r\nHost: %.*s:%u\r\n"
		    "User-Agent: currantpaddle-probe\r\n"
		    "Connection: close\r\n\r\n",
		    STR_FMT(path), STR_FMT(host), port);
	set_state(unused, PRB_REQUESTED);
	wake(prb);
}
