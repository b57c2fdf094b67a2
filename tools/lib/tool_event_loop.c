#include "tool_event_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_EVENTS 128
#define LISTEN_BACKLOG 1024
#define MAX_POLL_MS 60000

int loop_init(struct loop *loop)
{
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	tab_init(&loop->timers, sizeof(struct loop_timer));
	tab_init(&loop->watchers, sizeof(struct loop_watcher));
	loop->heap = NULL;
	loop->heap_len = 0;
	loop->heap_cap = 0;
	loop->stop = false;
	return loop->epoll_fd < 0 ? -1 : 0;
}

void loop_free(struct loop *loop)
{
	close(loop->epoll_fd);
	tab_free(&loop->timers);
	tab_free(&loop->watchers);
	free(loop->heap);
}

/*
 * Handle as the user data of epoll. Its generation makes loop_run() drop an
 * event of a watch that an earlier callback removed.
 */
static uint64_t pack_handle(struct hnd watch)
{
	return (uint64_t)watch.gen << 32 | watch.slot;
}

struct hnd loop_watch(struct loop *loop, int fd, uint32_t events,
		      void (*ready)(void *ctx, uint32_t events), void *ctx)
{
	struct loop_watcher *row;
	struct epoll_event ev = {.events = events};
	struct hnd watch;
	void *p;

	watch = tab_add(&loop->watchers, &p);
	row = p;
	row->fd = fd;
	row->ready = ready;
	row->ctx = ctx;
	ev.data.u64 = pack_handle(watch);
	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &ev))
		abort();
	return watch;
}

void loop_set_events(struct loop *loop, struct hnd watch, uint32_t events)
{
	struct loop_watcher *row = tab_get(&loop->watchers, watch);
	struct epoll_event ev = {.events = events,
				 .data.u64 = pack_handle(watch)};

	if (row && epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, row->fd, &ev))
		abort();
}

void loop_unwatch(struct loop *loop, struct hnd watch)
{
	struct loop_watcher *row = tab_get(&loop->watchers, watch);

	if (!row)
		return;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, row->fd, NULL);
	tab_del(&loop->watchers, watch);
}

static void swap_entries(struct loop_heap_entry *a, struct loop_heap_entry *b)
{
	struct loop_heap_entry t = *a;

	*a = *b;
	*b = t;
}

static void heap_push(struct loop *loop, struct loop_heap_entry entry)
{
	uint32_t i;

	if (loop->heap_len == loop->heap_cap) {
		loop->heap_cap = loop->heap_cap ? 2 * loop->heap_cap : 64;
		loop->heap = realloc(loop->heap,
				     loop->heap_cap * sizeof(*loop->heap));
		if (!loop->heap)
			abort();
	}
	i = loop->heap_len++;
	loop->heap[i] = entry;
	while (i && loop->heap[(i - 1) / 2].due_ns > loop->heap[i].due_ns) {
		swap_entries(&loop->heap[i], &loop->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct loop_heap_entry heap_pop(struct loop *loop)
{
	struct loop_heap_entry top = loop->heap[0];
	uint32_t i = 0;

	loop->heap[0] = loop->heap[--loop->heap_len];
	for (;;) {
		uint32_t smallest = i;
		uint32_t child = 2 * i + 1;

		if (child < loop->heap_len &&
		    loop->heap[child].due_ns < loop->heap[smallest].due_ns)
			smallest = child;
		child++;
		if (child < loop->heap_len &&
		    loop->heap[child].due_ns < loop->heap[smallest].due_ns)
			smallest = child;
		if (smallest == i)
			return top;
		swap_entries(&loop->heap[i], &loop->heap[smallest]);
		i = smallest;
	}
}

struct hnd loop_add_timer(struct loop *loop, int64_t delay_ns,
			  void (*fire)(void *ctx), void *ctx)
{
	struct loop_timer *timer;
	struct loop_heap_entry entry;
	void *p;

	entry.timer = tab_add(&loop->timers, &p);
	timer = p;
	timer->due_ns = tmr_now() + delay_ns;
	timer->fire = fire;
	timer->ctx = ctx;
	entry.due_ns = timer->due_ns;
	heap_push(loop, entry);
	return entry.timer;
}

void loop_cancel_timer(struct loop *loop, struct hnd timer)
{
	tab_del(&loop->timers, timer);
}

/* Calls the callbacks of expired timers; skips cancelled ones. */
static void fire_expired(struct loop *loop)
{
	int64_t now = tmr_now();

	while (loop->heap_len && loop->heap[0].due_ns <= now && !loop->stop) {
		struct loop_heap_entry entry = heap_pop(loop);
		struct loop_timer *row = tab_get(&loop->timers, entry.timer);
		struct loop_timer timer;

		if (!row)
			continue;
		timer = *row;
		tab_del(&loop->timers, entry.timer);
		timer.fire(timer.ctx);
	}
}

/* Timeout for epoll_wait(): milliseconds, rounded up; -1 for none. */
static int poll_timeout_ms(const struct loop *loop, int64_t until_ns)
{
	int64_t due_ns = until_ns;
	int64_t left;

	if (loop->heap_len && loop->heap[0].due_ns < due_ns)
		due_ns = loop->heap[0].due_ns;
	if (due_ns == TMR_NEVER)
		return -1;
	left = due_ns - tmr_now();
	if (left <= 0)
		return 0;
	left = (left + NS_PER_MS - 1) / NS_PER_MS;
	return left > MAX_POLL_MS ? MAX_POLL_MS : (int)left;
}

void loop_run(struct loop *loop, int64_t until_ns)
{
	struct epoll_event events[MAX_EVENTS];
	int i, n;

	while (!loop->stop && tmr_now() < until_ns) {
		n = epoll_wait(loop->epoll_fd, events, MAX_EVENTS,
			       poll_timeout_ms(loop, until_ns));
		for (i = 0; i < n; i++) {
			struct hnd watch = {
				(uint32_t)events[i].data.u64,
				(uint32_t)(events[i].data.u64 >> 32),
			};
			struct loop_watcher *row =
				tab_get(&loop->watchers, watch);

			if (row)
				row->ready(row->ctx, events[i].events);
		}
		fire_expired(loop);
	}
}

static int make_address(struct sockaddr_in *addr, const char *host,
			uint16_t port)
{
	*addr = (struct sockaddr_in){.sin_family = AF_INET};
	addr->sin_port = htons(port);
	return inet_pton(AF_INET, host, &addr->sin_addr) == 1 ? 0 : -1;
}

int loop_listen(const char *host, uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr;
	int enable = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (make_address(&addr, host, port) ||
	    bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

int loop_connect(const char *source, const char *host, uint16_t port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr;
	int enable = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enable,
		   sizeof(enable));
	if (source && (make_address(&addr, source, 0) ||
		       bind(fd, (struct sockaddr *)&addr, sizeof(addr))))
		goto fail;
	if (make_address(&addr, host, port))
		goto fail;
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    errno != EINPROGRESS)
		goto fail;
	return fd;
fail:
	close(fd);
	return -1;
}
