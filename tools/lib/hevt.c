#include "hevt.h"

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

int hevt_init(struct hevt *h)
{
	h->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	tab_init(&h->timers, sizeof(struct hevt_timer));
	tab_init(&h->watchers, sizeof(struct hevt_watcher));
	h->heap = NULL;
	h->heap_len = 0;
	h->heap_cap = 0;
	h->stop = false;
	return h->epoll_fd < 0 ? -1 : 0;
}

void hevt_free(struct hevt *h)
{
	close(h->epoll_fd);
	tab_free(&h->timers);
	tab_free(&h->watchers);
	free(h->heap);
}

/*
 * Handle as the user data of epoll. Its generation makes hevt_run() drop an
 * event of a watch that an earlier callback removed.
 */
static uint64_t pack_handle(struct hnd watch)
{
	return (uint64_t)watch.gen << 32 | watch.slot;
}

struct hnd hevt_watch(struct hevt *h, int fd, uint32_t events,
		      void (*ready)(void *ctx, uint32_t events), void *ctx)
{
	struct hevt_watcher *row;
	struct epoll_event ev = {.events = events};
	struct hnd watch;
	void *p;

	watch = tab_add(&h->watchers, &p);
	row = p;
	row->fd = fd;
	row->ready = ready;
	row->ctx = ctx;
	ev.data.u64 = pack_handle(watch);
	if (epoll_ctl(h->epoll_fd, EPOLL_CTL_ADD, fd, &ev))
		abort();
	return watch;
}

void hevt_set_events(struct hevt *h, struct hnd watch, uint32_t events)
{
	struct hevt_watcher *row = tab_get(&h->watchers, watch);
	struct epoll_event ev = {.events = events,
				 .data.u64 = pack_handle(watch)};

	if (row && epoll_ctl(h->epoll_fd, EPOLL_CTL_MOD, row->fd, &ev))
		abort();
}

void hevt_unwatch(struct hevt *h, struct hnd watch)
{
	struct hevt_watcher *row = tab_get(&h->watchers, watch);

	if (!row)
		return;
	epoll_ctl(h->epoll_fd, EPOLL_CTL_DEL, row->fd, NULL);
	tab_del(&h->watchers, watch);
}

static void swap_entries(struct hevt_heap_entry *a, struct hevt_heap_entry *b)
{
	struct hevt_heap_entry t = *a;

	*a = *b;
	*b = t;
}

static void heap_push(struct hevt *h, struct hevt_heap_entry entry)
{
	uint32_t i;

	if (h->heap_len == h->heap_cap) {
		h->heap_cap = h->heap_cap ? 2 * h->heap_cap : 64;
		h->heap = realloc(h->heap, h->heap_cap * sizeof(*h->heap));
		if (!h->heap)
			abort();
	}
	i = h->heap_len++;
	h->heap[i] = entry;
	while (i && h->heap[(i - 1) / 2].due_ns > h->heap[i].due_ns) {
		swap_entries(&h->heap[i], &h->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct hevt_heap_entry heap_pop(struct hevt *h)
{
	struct hevt_heap_entry top = h->heap[0];
	uint32_t i = 0;

	h->heap[0] = h->heap[--h->heap_len];
	for (;;) {
		uint32_t smallest = i;
		uint32_t child = 2 * i + 1;

		if (child < h->heap_len &&
		    h->heap[child].due_ns < h->heap[smallest].due_ns)
			smallest = child;
		child++;
		if (child < h->heap_len &&
		    h->heap[child].due_ns < h->heap[smallest].due_ns)
			smallest = child;
		if (smallest == i)
			return top;
		swap_entries(&h->heap[i], &h->heap[smallest]);
		i = smallest;
	}
}

struct hnd hevt_add_timer(struct hevt *h, int64_t delay_ns,
			  void (*fire)(void *ctx), void *ctx)
{
	struct hevt_timer *timer;
	struct hevt_heap_entry entry;
	void *p;

	entry.timer = tab_add(&h->timers, &p);
	timer = p;
	timer->due_ns = tmr_now() + delay_ns;
	timer->fire = fire;
	timer->ctx = ctx;
	entry.due_ns = timer->due_ns;
	heap_push(h, entry);
	return entry.timer;
}

void hevt_cancel_timer(struct hevt *h, struct hnd timer)
{
	tab_del(&h->timers, timer);
}

/* Calls the callbacks of expired timers; skips cancelled ones. */
static void fire_expired(struct hevt *h)
{
	int64_t now = tmr_now();

	while (h->heap_len && h->heap[0].due_ns <= now && !h->stop) {
		struct hevt_heap_entry entry = heap_pop(h);
		struct hevt_timer *row = tab_get(&h->timers, entry.timer);
		struct hevt_timer timer;

		if (!row)
			continue;
		timer = *row;
		tab_del(&h->timers, entry.timer);
		timer.fire(timer.ctx);
	}
}

/* Time-out for epoll_wait(): milliseconds, rounded up; -1 for none. */
static int poll_timeout_ms(const struct hevt *h, int64_t until_ns)
{
	int64_t due_ns = until_ns;
	int64_t left;

	if (h->heap_len && h->heap[0].due_ns < due_ns)
		due_ns = h->heap[0].due_ns;
	if (due_ns == TMR_NEVER)
		return -1;
	left = due_ns - tmr_now();
	if (left <= 0)
		return 0;
	left = (left + NS_PER_MS - 1) / NS_PER_MS;
	return left > MAX_POLL_MS ? MAX_POLL_MS : (int)left;
}

void hevt_run(struct hevt *h, int64_t until_ns)
{
	struct epoll_event events[MAX_EVENTS];
	int i, n;

	while (!h->stop && tmr_now() < until_ns) {
		n = epoll_wait(h->epoll_fd, events, MAX_EVENTS,
			       poll_timeout_ms(h, until_ns));
		for (i = 0; i < n; i++) {
			struct hnd watch = {
				(uint32_t)events[i].data.u64,
				(uint32_t)(events[i].data.u64 >> 32),
			};
			struct hevt_watcher *row = tab_get(&h->watchers, watch);

			if (row)
				row->ready(row->ctx, events[i].events);
		}
		fire_expired(h);
	}
}

static int make_address(struct sockaddr_in *addr, const char *host,
			uint16_t port)
{
	*addr = (struct sockaddr_in){.sin_family = AF_INET};
	addr->sin_port = htons(port);
	return inet_pton(AF_INET, host, &addr->sin_addr) == 1 ? 0 : -1;
}

int hevt_listen(const char *host, uint16_t port)
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

int hevt_connect(const char *source, const char *host, uint16_t port)
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
