#include "platform_client.h"

#include <pthread.h>
#include <stdlib.h>

#include "timer.h"

#define MAX_QUEUED_CALLS 4096
/*
 * A call that was queued for longer is not sent and fails with ERR_UNREACHABLE,
 * since its requester may have given up by then.
 */
#define MAX_QUEUE_TIME_NS (2 * NS_PER_S)

/* A call from plat_call() until its reply has been passed on. */
struct plat_job {
	struct plat_job *next;
	/* List of all jobs, for plat_close(). */
	struct plat_job *newer;
	struct plat_job *older;
	struct plat *plat;
	struct core_plat_call call;
	struct core_plat_reply reply;
	struct strbuf key;
	struct strbuf value;
	/* Own the memory of the reply's views. */
	struct strbuf reply_value;
	struct core_vm_listed *vms;
	struct strbuf vm_ids;
	int64_t queued_ns;
	struct evq_item item;
};

/*
 * The core thread queues jobs and finishes them; the worker thread takes the
 * oldest one from head, fills its reply and posts it to the event queue.
 */
struct plat {
	struct plat_driver driver;
	struct evq *queue;
	pthread_t worker;
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	bool stopping;
	/* Calls that the worker has not taken, oldest first. */
	struct plat_job *head;
	struct plat_job **tail;
	uint32_t queued;
	/* Used by the core thread only. */
	struct plat_job *newest;
	struct plat_stats stats;
};

static bool is_write(enum core_plat_op op)
{
	return op == CORE_PLAT_CAS || op == CORE_PLAT_PUT_OBJECT ||
	       op == CORE_PLAT_PUT_VM;
}

static void free_job(struct plat_job *job)
{
	strbuf_free(&job->key);
	strbuf_free(&job->value);
	strbuf_free(&job->reply_value);
	strbuf_free(&job->vm_ids);
	free(job->vms);
	free(job);
}

static void unlink_job(struct plat *p, struct plat_job *job)
{
	if (job->older)
		job->older->newer = job->newer;
	if (job->newer)
		job->newer->older = job->older;
	else
		p->newest = job->older;
}

/* Runs on the core thread. */
static void finish_job(void *ctx)
{
	struct plat_job *job = ctx;

	unlink_job(job->plat, job);
	if (job->call.done)
		job->call.done(job->call.ctx, &job->reply);
	free_job(job);
}

/* Copies the list of VMs; the driver reuses its memory in the next call. */
static void copy_vms(struct plat_job *job)
{
	const struct core_vm_listed *from = job->reply.vms;
	size_t at = 0;
	uint32_t i;

	if (!job->reply.vm_count)
		return;
	job->vms = calloc(job->reply.vm_count, sizeof(*job->vms));
	if (!job->vms)
		abort();
	for (i = 0; i < job->reply.vm_count; i++)
		strbuf_add(&job->vm_ids, from[i].id);
	for (i = 0; i < job->reply.vm_count; i++) {
		job->vms[i] = from[i];
		job->vms[i].id.ptr = job->vm_ids.ptr + at;
		at += from[i].id.len;
	}
	job->reply.vms = job->vms;
}

static void run_job(struct plat *p, struct plat_job *job)
{
	uint64_t *count = is_write(job->call.op) ? &p->stats.writes
						 : &p->stats.reads;

	job->reply.tag = job->call.tag;
	if (tmr_now() - job->queued_ns > MAX_QUEUE_TIME_NS) {
		job->reply.err = ERR_UNREACHABLE;
	} else {
		__atomic_add_fetch(count, 1, __ATOMIC_RELAXED);
		p->driver.call(p->driver.ctx, &job->call, &job->reply);
		job->reply.tag = job->call.tag;
		strbuf_set(&job->reply_value, job->reply.value);
		job->reply.value = strbuf_view(&job->reply_value);
		copy_vms(job);
	}
	if (job->reply.err == ERR_UNREACHABLE || job->reply.err == ERR_UNKNOWN)
		__atomic_add_fetch(&p->stats.failures, 1, __ATOMIC_RELAXED);
	evq_post(p->queue, &job->item);
}

static struct plat_job *dequeue_job(struct plat *p)
{
	struct plat_job *job = NULL;

	pthread_mutex_lock(&p->lock);
	while (!p->head && !p->stopping)
		pthread_cond_wait(&p->not_empty, &p->lock);
	if (!p->stopping) {
		job = p->head;
		p->head = job->next;
		if (!p->head)
			p->tail = &p->head;
		p->queued--;
	}
	pthread_mutex_unlock(&p->lock);
	return job;
}

static void *run_worker(void *ctx)
{
	struct plat *p = ctx;
	struct plat_job *job;

	while ((job = dequeue_job(p)) != NULL)
		run_job(p, job);
	return NULL;
}

enum err plat_open(struct plat **out, const struct plat_driver *driver,
		   struct evq *queue)
{
	struct plat *p = calloc(1, sizeof(*p));

	if (!p)
		return ERR_NOMEM;
	p->driver = *driver;
	p->queue = queue;
	p->tail = &p->head;
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->not_empty, NULL);
	if (pthread_create(&p->worker, NULL, run_worker, p)) {
		pthread_cond_destroy(&p->not_empty);
		pthread_mutex_destroy(&p->lock);
		free(p);
		return ERR_NOMEM;
	}
	*out = p;
	return ERR_OK;
}

/* The core no longer exists, so the calls in the queue get no reply. */
void plat_close(struct plat *p)
{
	if (!p)
		return;
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_cond_signal(&p->not_empty);
	pthread_mutex_unlock(&p->lock);
	pthread_join(p->worker, NULL);
	while (p->newest) {
		struct plat_job *job = p->newest;

		p->newest = job->older;
		free_job(job);
	}
	if (p->driver.close)
		p->driver.close(p->driver.ctx);
	pthread_cond_destroy(&p->not_empty);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

static struct plat_job *new_job(struct plat *p,
				const struct core_plat_call *call)
{
	struct plat_job *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->plat = p;
	job->call = *call;
	strbuf_set(&job->key, call->key);
	strbuf_set(&job->value, call->value);
	job->call.key = strbuf_view(&job->key);
	job->call.value = strbuf_view(&job->value);
	job->queued_ns = tmr_now();
	job->item.run = finish_job;
	job->item.ctx = job;
	job->older = p->newest;
	if (p->newest)
		p->newest->newer = job;
	p->newest = job;
	return job;
}

void plat_call(struct plat *p, const struct core_plat_call *call)
{
	struct plat_job *job = new_job(p, call);
	bool full;

	pthread_mutex_lock(&p->lock);
	full = p->queued >= MAX_QUEUED_CALLS;
	if (!full) {
		*p->tail = job;
		p->tail = &job->next;
		p->queued++;
		pthread_cond_signal(&p->not_empty);
	}
	pthread_mutex_unlock(&p->lock);
	if (!full)
		return;
	job->reply.err = ERR_UNREACHABLE;
	job->reply.tag = call->tag;
	evq_post(p->queue, &job->item);
}

void plat_get_stats(const struct plat *p, struct plat_stats *out)
{
	out->reads = __atomic_load_n(&p->stats.reads, __ATOMIC_RELAXED);
	out->writes = __atomic_load_n(&p->stats.writes, __ATOMIC_RELAXED);
	out->failures = __atomic_load_n(&p->stats.failures, __ATOMIC_RELAXED);
}

void plat_add_metrics(const struct plat *p, struct strbuf *out)
{
	struct plat_stats s;

	plat_get_stats(p, &s);
	strbuf_addf(out,
		    "currantpaddle_platform_reads_total %llu\n"
		    "currantpaddle_platform_writes_total %llu\n"
		    "currantpaddle_platform_failures_total %llu\n",
		    (unsigned long long)s.reads, (unsigned long long)s.writes,
		    (unsigned long long)s.failures);
}
