#ifndef TOOL_EVENT_LOOP_H
#define TOOL_EVENT_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

#include "entity_table.h"
#include "timer.h"

/*
 * Event loop of the test tools: epoll for file descriptors and a binary heap of
 * one-shot timers. A loop belongs to one thread. Callbacks may add and remove
 * any watch or timer.
 */
struct loop_timer {
	int64_t due_ns;
	void (*fire)(void *ctx);
	void *ctx;
};

struct loop_heap_entry {
	int64_t due_ns;
	struct hnd timer;
};

struct loop_watcher {
	int fd;
	void (*ready)(void *ctx, uint32_t events);
	void *ctx;
};

struct loop {
	int epoll_fd;
	/* Rows are struct loop_timer. */
	struct tab timers;
	/* Ordered by due_ns; entries of cancelled timers stay until due. */
	struct loop_heap_entry *heap;
	uint32_t heap_len;
	uint32_t heap_cap;
	/* Rows are struct loop_watcher. */
	struct tab watchers;
	/* Set by a callback to make loop_run() return. */
	bool stop;
};

/* Returns 0, or -1 when the epoll descriptor cannot be created. */
int loop_init(struct loop *loop);
void loop_free(struct loop *loop);
/* Calls ready when one of the epoll events occurs on fd. */
struct hnd loop_watch(struct loop *loop, int fd, uint32_t events,
		      void (*ready)(void *ctx, uint32_t events), void *ctx);
void loop_set_events(struct loop *loop, struct hnd watch, uint32_t events);
/* Does not close the descriptor. */
void loop_unwatch(struct loop *loop, struct hnd watch);
/* Calls fire once, from loop_run(), after the delay. */
struct hnd loop_add_timer(struct loop *loop, int64_t delay_ns,
			  void (*fire)(void *ctx), void *ctx);
/* Does nothing for a timer that has fired or was cancelled. */
void loop_cancel_timer(struct loop *loop, struct hnd timer);
/* Runs until the time, or until stop is set; TMR_NEVER for no limit. */
void loop_run(struct loop *loop, int64_t until_ns);

/*
 * Non-blocking IPv4 sockets; -1 on failure. A connection that is returned may
 * not be established yet; source is its local address, NULL for any.
 */
int loop_listen(const char *host, uint16_t port);
int loop_connect(const char *source, const char *host, uint16_t port);

#endif
