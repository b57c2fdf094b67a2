#include "frontend.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "frontend_response.h"
#include "frontend_exchange.h"
#include "logs.h"

/* Idle timeout; connections are closed sooner when threads run short. */
#define KEEP_ALIVE_NS (30 * NS_PER_S)
/* Timeout for a request head, from its first byte. */
#define HEAD_TIMEOUT_NS (10 * NS_PER_S)
/* The default of 8 MiB would reserve 4 GiB of address space for 512 threads. */
#define WORKER_STACK_BYTES 262144
#define BACKLOG 1024
/*
 * Delay after accept() failed for lack of descriptors or memory, so that the
 * loop does not spin.
 */
#define ACCEPT_RETRY_MS 50
#define STOP_POLL_MS 50
/* Requests in flight at a forced stop are aborted after this time. */
#define STOP_GRACE_NS (2 * NS_PER_S)

static bool is_closing(const struct front *f)
{
	return __atomic_load_n(&f->closing, __ATOMIC_SEQ_CST);
}

static void skip_empty_lines(struct caller *caller)
{
	while (caller->len - caller->pos >= 2 &&
	       !memcmp(caller->buf + caller->pos, "\r\n", 2))
		caller_consume(caller, 2);
}

/*
 * Reads until the buffer holds a complete head. ERR_INVALID if it is too long;
 * after any other error there is no caller to respond to.
 */
static enum err read_head(struct front *f, struct caller *caller,
			  struct conns_item *conn, size_t *len)
{
	struct io_wait w = {-1, -1, NULL, -1, tmr_now() + KEEP_ALIVE_NS};
	bool head_begun = false;
	enum err e;

	if (!conns_set_idle(&f->conns, conn))
		return ERR_REFUSED;
	for (;;) {
		skip_empty_lines(caller);
		*len = hreq_head_len(caller_view(caller));
		if (*len || caller->len - caller->pos == caller->size)
			break;
		if (!head_begun && caller_view(caller).len) {
			head_begun = true;
			w.deadline_ns = tmr_now() + HEAD_TIMEOUT_NS;
		}
		e = caller_fill(caller, &w);
		if (e)
			return e;
	}
	conns_set_busy(&f->conns, conn);
	return *len ? ERR_OK : ERR_INVALID;
}

static uint64_t new_request_id(const struct front *f)
{
	const struct core_opts *opts = &f->opts.core->opts;

	return opts->ops->random(opts->ops_ctx);
}

/* Copies the head, since the read buffer is reused for the body. */
static const char *parse_head(struct exch_worker *worker, struct caller *caller,
			      size_t len)
{
	struct str head = {worker->head_buf, len};

	memcpy(worker->head_buf, caller_view(caller).ptr, len);
	caller_consume(caller, len);
	return hreq_parse(&worker->request, head);
}

static void refuse_head(struct exch *x, const char *reason)
{
	strbuf_init(&x->out);
	strbuf_init(&x->text);
	respond_bad_request(x, reason);
	strbuf_free(&x->out);
	strbuf_free(&x->text);
}

/* Serves the next request; false if the connection must be closed. */
static bool serve_next(struct front *f, struct exch_worker *worker,
		       struct caller *caller, struct conns_item *conn)
{
	struct exch x = {
		.front = f,
		.worker = worker,
		.caller = caller,
		.request = &worker->request,
	};
	const char *reason = "request head is too long";
	size_t len = 0;
	enum err e = read_head(f, caller, conn, &len);

	if (e && e != ERR_INVALID)
		return false;
	x.id = new_request_id(f);
	if (!e)
		reason = parse_head(worker, caller, len);
	else
		memset(&worker->request, 0, sizeof(worker->request));
	x.close = reason || !worker->request.keep_alive || is_closing(f);
	if (reason)
		refuse_head(&x, reason);
	else
		exch_serve(&x);
	if (x.reset)
		caller_reset(caller);
	else if (x.close)
		caller_finish(caller);
	return !x.reset && !x.close;
}

static void serve_connection(struct front *f, struct exch_worker *worker,
			     int fd)
{
	struct caller caller = {.fd = fd,
				.buf = worker->read_buf,
				.size = sizeof(worker->read_buf)};
	struct conns_item conn = {.fd = fd};
	int enable = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	if (conns_add(&f->conns, &conn))
		while (serve_next(f, worker, &caller, &conn))
			;
	/* First: once closed, the descriptor may belong to another socket. */
	conns_remove(&f->conns, &conn);
	close(fd);
}

/* Blocks in accept(); front_stop() wakes it by shutting the listener down. */
static void *run_worker(void *arg)
{
	struct front *f = arg;
	struct exch_worker *worker = calloc(1, sizeof(*worker));

	if (!worker)
		abort();
	worker->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (worker->wake_fd < 0)
		abort();
	f->opts.thread_start(f->opts.ctx);
	while (!is_closing(f)) {
		int fd = accept4(f->listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			serve_connection(f, worker, fd);
		else if (errno == EMFILE || errno == ENFILE ||
			 errno == ENOBUFS || errno == ENOMEM)
			poll(NULL, 0, ACCEPT_RETRY_MS);
	}
	f->opts.thread_stop(f->opts.ctx);
	close(worker->wake_fd);
	free(worker);
	return NULL;
}

static int listen_on(const struct sett_addr *at)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	char host[INET_ADDRSTRLEN];
	int enable = 1;
	int fd;

	str_copy(host, sizeof(host), at->host);
	if (inet_pton(AF_INET, host, &addr.sin_addr) != 1)
		return -1;
	addr.sin_port = htons((uint16_t)at->port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

static enum err start_workers(struct front *f)
{
	size_t wanted = (size_t)f->opts.sett->caller_threads;
	pthread_attr_t attr;
	enum err e = ERR_OK;

	f->workers = calloc(wanted, sizeof(*f->workers));
	if (!f->workers)
		return ERR_NOMEM;
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK_BYTES);
	while (!e && f->worker_count < wanted) {
		if (pthread_create(&f->workers[f->worker_count], &attr,
				   run_worker, f))
			e = ERR_NOMEM;
		else
			f->worker_count++;
	}
	pthread_attr_destroy(&attr);
	return e;
}

static void join_workers(struct front *f)
{
	size_t i;

	shutdown(f->listener, SHUT_RDWR);
	for (i = 0; i < f->worker_count; i++)
		pthread_join(f->workers[i], NULL);
}

static void free_front(struct front *f)
{
	free(f->workers);
	close(f->listener);
	conns_free(&f->conns);
	up_pool_free(&f->pool);
	free(f);
}

enum err front_start(struct front **out, const struct front_opts *opts)
{
	struct front *f = calloc(1, sizeof(*f));
	enum err e;

	if (!f)
		return ERR_NOMEM;
	f->opts = *opts;
	f->listener = listen_on(&opts->sett->caller);
	if (f->listener < 0) {
		free(f);
		return ERR_IO;
	}
	up_pool_init(&f->pool);
	conns_init(&f->conns, (unsigned)opts->sett->caller_threads);
	e = start_workers(f);
	if (e) {
		__atomic_store_n(&f->closing, true, __ATOMIC_SEQ_CST);
		join_workers(f);
		free_front(f);
		return e;
	}
	*out = f;
	return ERR_OK;
}

void front_leave(struct front *f)
{
	__atomic_store_n(&f->leaving, true, __ATOMIC_SEQ_CST);
}

/*
 * Runs on the core thread after its event loop has ended, so it also runs the
 * queue items that workers still post to the core.
 */
void front_stop(struct front *f)
{
	int64_t abort_ns = tmr_now() + STOP_GRACE_NS;
	struct pollfd fd = {f->opts.queue->fd, POLLIN, 0};

	__atomic_store_n(&f->closing, true, __ATOMIC_SEQ_CST);
	conns_close(&f->conns);
	while (__atomic_load_n(&f->active_exchanges, __ATOMIC_SEQ_CST)) {
		evq_run(f->opts.queue);
		core_tick(f->opts.core, tmr_now());
		if (tmr_now() >= abort_ns)
			conns_abort_busy(&f->conns);
		poll(&fd, 1, STOP_POLL_MS);
	}
	conns_abort_busy(&f->conns);
	join_workers(f);
	evq_run(f->opts.queue);
	free_front(f);
}
