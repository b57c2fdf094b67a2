#ifndef EVENT_LOOP_H
#define EVENT_LOOP_H

#include <signal.h>
#include <stdbool.h>
#include <stdint.h>

#include "error_code.h"
#include "timer.h"

/*
 * Event loop of an edge process: one epoll instance, the timers, and a tick
 * that runs the systems after each batch of events. A file descriptor belongs
 * to a row of a table; its events carry the handle of the row, so that an event
 * for a deleted row finds no row. Between batches the thread sleeps.
 */
enum ev_kind {
	EV_LISTEN,
	EV_CALLER_CONN,
	EV_BACKEND_CONN,
	EV_CALL,
	EV_DATAGRAM,
	EV_SIGNAL,
	EV_KINDS,
};

typedef void ev_handler_fn(void *ctx, struct hnd row, uint32_t events);

struct ev {
	int epoll_fd;
	int signal_fd;
	struct tmr timers;
	int64_t now_ns;
	bool stop;
	ev_handler_fn *handler[EV_KINDS];
	void *handler_ctx[EV_KINDS];
};

struct ev_opts {
	/* Runs after each batch of events and due timers. */
	void (*tick)(void *ctx, int64_t now_ns);
	/* Time of the next tick if no event comes before; TMR_NEVER for none.
	 */
	int64_t (*next_due)(void *ctx);
	/* Handles a signal that ev_catch_signal() catches. */
	void (*signal)(void *ctx, int number);
	void *ctx;
};

/* ERR_IO if a file descriptor cannot be created. */
enum err ev_init(struct ev *ev);
void ev_free(struct ev *ev);
/* Sets the handler for events of all file descriptors of a kind. */
void ev_set_handler(struct ev *ev, enum ev_kind kind, ev_handler_fn *handler,
		    void *ctx);
/* Adds a file descriptor; events are those of epoll. ERR_IO if the kernel
 * rejects it. */
enum err ev_add(struct ev *ev, int fd, enum ev_kind kind, struct hnd row,
		uint32_t events);
void ev_modify(struct ev *ev, int fd, enum ev_kind kind, struct hnd row,
	       uint32_t events);
/* Catches a signal; ev_opts.signal handles it on the thread of the loop. */
enum err ev_catch_signal(int number);
/* Runs until ev->stop is set. */
void ev_run(struct ev *ev, const struct ev_opts *opts);

#endif
