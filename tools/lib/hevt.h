#ifndef HEVT_H
#define HEVT_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/epoll.h>

#include "tab.h"
#include "tmr.h"

/*
 * Event loop of the test tools: epoll for file descriptors and a binary heap of
 * one-shot timers. A loop belongs to one thread. Callbacks may add and remove
 * any watch or timer.
 */
struct hevt_timer {
	int64_t due_ns;
	void (*fire)(void *ctx);
	void *ctx;
};

struct hevt_heap_entry {
	int64_t due_ns;
	struct hnd timer;
};

struct hevt_watcher {
	int fd;
	void (*ready)(void *ctx, uint32_t events);
	void *ctx;
};

struct hevt {
	int epoll_fd;
	/* Rows are struct hevt_timer. */
	struct tab timers;
	/* Ordered by due_ns; entries of cancelled timers stay until due. */
	struct hevt_heap_entry *heap;
	uint32_t heap_len;
	uint32_t heap_cap;
	/* Rows are struct hevt_watcher. */
	struct tab watchers;
	/* Set by a callback to make hevt_run() return. */
	bool stop;
};

/* Returns 0, or -1 when the epoll descriptor cannot be created. */
int hevt_init(struct hevt *h);
void hevt_free(struct hevt *h);
/* Calls ready when one of the epoll events occurs on fd. */
struct hnd hevt_watch(struct hevt *h, int fd, uint32_t events,
		      void (*ready)(void *ctx, uint32_t events), void *ctx);
void hevt_set_events(struct hevt *h, struct hnd watch, uint32_t events);
/* Does not close the descriptor. */
void hevt_unwatch(struct hevt *h, struct hnd watch);
/* Calls fire once, from hevt_run(), after the delay. */
struct hnd hevt_add_timer(struct hevt *h, int64_t delay_ns,
			  void (*fire)(void *ctx), void *ctx);
/* Does nothing for a timer that has fired or was cancelled. */
void hevt_cancel_timer(struct hevt *h, struct hnd timer);
/* Runs until the time, or until stop is set; TMR_NEVER for no limit. */
void hevt_run(struct hevt *h, int64_t until_ns);

/*
 * Non-blocking IPv4 sockets; -1 on failure. A connection that is returned may
 * not be established yet; source is its local address, NULL for any.
 */
int hevt_listen(const char *host, uint16_t port);
int hevt_connect(const char *source, const char *host, uint16_t port);

#endif
