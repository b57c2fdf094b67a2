#include "event_loop.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "logs.h"

#define MAX_EVENTS 64
/* Layout of epoll_data: kind, slot and generation of the row. */
#define KIND_SHIFT 60
#define SLOT_SHIFT 32
#define SLOT_MASK UINT32_C(0x0fffffff)
/* Signals 1 to MAX_SIGNALS - 1 can be caught. */
#define MAX_SIGNALS 32

static volatile sig_atomic_t pending_signals[MAX_SIGNALS];
static int wake_fd = -1;

static void on_signal(int number)
{
	uint64_t one = 1;
	int saved = errno;

	pending_signals[number] = 1;
	/* The counter of the eventfd cannot overflow here. */
	if (write(wake_fd, &one, sizeof(one)) < 0)
		errno = saved;
	errno = saved;
}

enum err ev_catch_signal(int number)
{
	struct sigaction act;

	memset(&act, 0, sizeof(act));
	act.sa_handler = on_signal;
	act.sa_flags = SA_RESTART;
	return sigaction(number, &act, NULL) ? ERR_IO : ERR_OK;
}

enum err ev_init(struct ev *ev)
{
	uint64_t one = 1;

	memset(ev, 0, sizeof(*ev));
	tmr_init(&ev->timers);
	ev->now_ns = tmr_now();
	ev->signal_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	ev->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (ev->signal_fd < 0 || ev->epoll_fd < 0)
		return ERR_IO;
	wake_fd = ev->signal_fd;
	/* The first iteration handles signals that were caught before. */
	if (write(wake_fd, &one, sizeof(one)) < 0)
		return ERR_IO;
	return ev_add(ev, ev->signal_fd, EV_SIGNAL, HND_NONE, EPOLLIN);
}

void ev_free(struct ev *ev)
{
	tmr_free(&ev->timers);
	if (ev->epoll_fd >= 0)
		close(ev->epoll_fd);
	if (ev->signal_fd >= 0)
		close(ev->signal_fd);
	wake_fd = -1;
}

void ev_set_handler(struct ev *ev, enum ev_kind kind, ev_handler_fn *handler,
		    void *ctx)
{
	ev->handler[kind] = handler;
	ev->handler_ctx[kind] = ctx;
}

static struct epoll_event make_event(enum ev_kind kind, struct hnd row,
				     uint32_t events)
{
	struct epoll_event event = {.events = events};

	event.data.u64 = (uint64_t)kind << KIND_SHIFT |
			 (uint64_t)(row.slot & SLOT_MASK) << SLOT_SHIFT |
			 row.gen;
	return event;
}

enum err ev_add(struct ev *ev, int fd, enum ev_kind kind, struct hnd row,
		uint32_t events)
{
	struct epoll_event event = make_event(kind, row, events);

	return epoll_ctl(ev->epoll_fd, EPOLL_CTL_ADD, fd, &event) ? ERR_IO
								  : ERR_OK;
}

void ev_modify(struct ev *ev, int fd, enum ev_kind kind, struct hnd row,
	       uint32_t events)
{
	struct epoll_event event = make_event(kind, row, events);

	if (epoll_ctl(ev->epoll_fd, EPOLL_CTL_MOD, fd, &event))
		logs_msg(LOGS_WARNING, "epoll",
			 "cannot change the epoll events of fd %d: %s", fd,
			 strerror(errno));
}

static void dispatch(struct ev *ev, const struct epoll_event *event)
{
	enum ev_kind kind = event->data.u64 >> KIND_SHIFT;
	struct hnd row = {
		.slot = (uint32_t)(event->data.u64 >> SLOT_SHIFT) & SLOT_MASK,
		.gen = (uint32_t)event->data.u64,
	};

	if (kind < EV_KINDS && ev->handler[kind])
		ev->handler[kind](ev->handler_ctx[kind], row, event->events);
}

static void dispatch_signals(struct ev *ev, const struct ev_opts *opts)
{
	uint64_t count;
	int i;

	if (read(ev->signal_fd, &count, sizeof(count)) < 0)
		return;
	for (i = 1; i < MAX_SIGNALS; i++) {
		if (!pending_signals[i])
			continue;
		pending_signals[i] = 0;
		opts->signal(opts->ctx, i);
	}
}

static int wait_timeout_ms(const struct ev *ev, const struct ev_opts *opts)
{
	int64_t due = tmr_next_due(&ev->timers);
	int64_t next = opts->next_due(opts->ctx);

	if (next < due)
		due = next;
	if (due == TMR_NEVER)
		return -1;
	due -= tmr_now();
	/* Rounds up, so that the tick never runs early. */
	return due <= 0 ? 0 : (int)((due + NS_PER_MS - 1) / NS_PER_MS);
}

void ev_run(struct ev *ev, const struct ev_opts *opts)
{
	struct epoll_event events[MAX_EVENTS];

	while (!ev->stop) {
		int i, n = epoll_wait(ev->epoll_fd, events, MAX_EVENTS,
				      wait_timeout_ms(ev, opts));

		ev->now_ns = tmr_now();
		dispatch_signals(ev, opts);
		for (i = 0; i < n; i++)
			dispatch(ev, &events[i]);
		tmr_run(&ev->timers, ev->now_ns);
		opts->tick(opts->ctx, ev->now_ns);
	}
}
