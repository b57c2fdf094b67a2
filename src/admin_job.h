#ifndef ADMIN_JOB_H
#define ADMIN_JOB_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "event_queue.h"
#include "counted_string.h"

/*
 * Jobs: functions that threads of the administration API run on the core
 * thread. job_dispatch() waits for the result of a job up to a timeout; a job
 * that finishes later is freed by the core thread.
 */
struct job_dispatcher {
	pthread_mutex_t lock;
	pthread_cond_t finished;
	struct evq *queue;
	bool stopping;
	/* All jobs that have not been freed yet. */
	LIST_HEAD(, job) jobs;
};

struct job {
	struct job_dispatcher *dispatcher;
	LIST_ENTRY(job) link;
	struct evq_item item;
	/*
	 * Runs on the core thread; it calls job_finish(), or a callback that it
	 * registers does so later.
	 */
	void (*run)(struct job *job);
	void *ctx;
	/*
	 * Input, set before job_dispatch() as far as the job needs it: body of
	 * the request, name of a service or of the operator, bundle version.
	 */
	struct strbuf body;
	struct strbuf name;
	int64_t number;
	/* Result, set before job_finish(): HTTP status and response body. */
	int status;
	struct strbuf out;
	bool finished;
	/* job_dispatch() returned without a result; job_finish() frees it. */
	bool abandoned;
};

void job_dispatcher_init(struct job_dispatcher *dispatcher, struct evq *queue);
/* Frees the remaining jobs; neither queue nor core may use them afterwards. */
void job_dispatcher_free(struct job_dispatcher *dispatcher);
/* Makes all calls of job_dispatch() return; called on the core thread. */
void job_dispatcher_stop(struct job_dispatcher *dispatcher);
struct job *job_new(struct job_dispatcher *dispatcher,
		    void (*run)(struct job *job), void *ctx);
/* Only before job_dispatch() or after it has returned true. */
void job_free(struct job *job);
/*
 * Runs the job on the core thread and waits until it is finished. Returns false
 * on a timeout or if the dispatcher is stopped; the job then belongs to the
 * core thread.
 */
bool job_dispatch(struct job *job, int64_t timeout_ns);
/* Hands the result to the waiting thread, or frees an abandoned job. */
void job_finish(struct job *job);

#endif
