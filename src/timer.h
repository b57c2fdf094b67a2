#ifndef TIMER_H
#define TIMER_H

#include <stdint.h>

#include "entity_table.h"

#define NS_PER_MS INT64_C(1000000)
#define NS_PER_S INT64_C(1000000000)
/* Later than any due time. */
#define TMR_NEVER INT64_MAX

/*
 * One-shot and periodic timers. Modules subscribe a callback; the thread that
 * owns the timers calls tmr_run() and may sleep until tmr_next_due().
 * All times are nanoseconds of CLOCK_BOOTTIME. This clock keeps running while
 * a VM is suspended, so a lease expires even during a suspension.
 */
struct tmr {
	/* Rows of struct tmr_opts. */
	struct tab subs;
};

struct tmr_opts {
	int64_t due_ns;
	/* 0 for a one-shot timer. */
	int64_t period_ns;
	void (*fire)(void *ctx, int64_t now_ns);
	void *ctx;
};

/* Current time of CLOCK_BOOTTIME in nanoseconds. */
int64_t tmr_now(void);
void tmr_init(struct tmr *t);
void tmr_free(struct tmr *t);
struct hnd tmr_subscribe(struct tmr *t, const struct tmr_opts *opts);
void tmr_cancel(struct tmr *t, struct hnd h);
/*
 * Runs the callbacks that are due. Callbacks may subscribe and cancel timers.
 * A periodic timer that missed several periods fires only once.
 */
void tmr_run(struct tmr *t, int64_t now_ns);
/* Returns the earliest due time, or TMR_NEVER without timers. */
int64_t tmr_next_due(const struct tmr *t);

#endif
