#ifndef ADMJ_H
#define ADMJ_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "evq.h"
#include "str.h"

/*
 * Jobs that threads of the administration API run on the core thread. The
 * thread that called a job waits for its result up to a timeout; a job that
 * finishes later is freed by the core thread.
 */
struct admj_dispatcher {
	pthread_mutex_t lock;
	pthread_cond_t finished;
	struct evq *queue;
	bool stopping;
	/* All jobs that have not been freed. */
	LIST_HEAD(, admj) jobs;
};

struct admj {
	struct admj_dispatcher *dispatcher;
	LIST_ENTRY(admj) link;
	struct evq_item item;
	/* Runs on the core thread; it calls admj_finish(), or a callback that
	 * it registers does so later. */
	void (*run)(struct admj *job);
	void *ctx;
	/* Request; set before admj_call(). */
	struct strbuf body;
	struct strbuf name;
	int64_t number;
	/* HTTP status and body of the result; set before admj_finish(). */
	int status;
	struct strbuf out;
	bool finished;
	/* The wait has ended; admj_finish() frees the job. */
	bool abandoned;
};

void admj_dispatcher_init(struct admj_dispatcher *dispatcher,
			  struct evq *queue);
/* Frees the remaining jobs; neither queue nor core may use them afterwards. */
void admj_dispatcher_free(struct admj_dispatcher *dispatcher);
/* Makes all waits return; called on the core thread. */
void admj_dispatcher_stop(struct admj_dispatcher *dispatcher);
struct admj *admj_new(struct admj_dispatcher *dispatcher,
		      void (*run)(struct admj *job), void *ctx);
/* For a job whose admj_call() returned true or that was never called. */
void admj_free(struct admj *job);
/*
 * Runs the job and waits until it is finished. False on a timeout or a stop of
 * the dispatcher; the job then belongs to the core thread.
 */
bool admj_call(struct admj *job, int64_t timeout_ns);
/* Hands the result to the waiting thread, or frees an abandoned job. */
void admj_finish(struct admj *job);

#endif
