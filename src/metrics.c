#include "metrics.h"

static const struct metric_def {
	const char *name;
	const char *help;
} counter_defs[CTR_COUNT] = {
	[CTR_REQUESTS] = {"requests", "Requests received from callers."},
	[CTR_ANSWERED] = {"answered", "Requests answered in full."},
	[CTR_REFUSED] = {"refused", "Requests refused as not run."},
	[CTR_REFUSED_KEY] = {"refused_key",
			     "Requests refused without the key of a team."},
	[CTR_REFUSED_QUOTA] = {"refused_quota",
			       "Requests refused beyond their team's quota."},
	[CTR_UNKNOWN] = {"unknown", "Requests with an unknown outcome."},
	[CTR_TRUNCATED] = {"cut",
			   "Answers that ended before they were complete."},
	[CTR_PIPELINED] = {"pipelined",
			   "Pipelined requests run beside earlier ones."},
	[CTR_BAD_REQUESTS] = {"bad_requests", "Malformed requests."},
	[CTR_RETRIES] = {"retries", "Attempts after the first."},
	[CTR_HEDGES] = {"hedges", "Hedged attempts."},
	[CTR_EJECTIONS] = {"ejections", "Backend servers ejected."},
	[CTR_REINSTATEMENTS] = {"reinstatements",
				"Backend servers reinstated."},
	[CTR_FLOOR_BLOCKED] = {"floor_blocked",
			       "Ejections that the floor prevented."},
	[CTR_PROBES] = {"probes", "Probes sent to backend servers."},
	[CTR_CLAIMS] = {"claims", "Idempotency keys claimed."},
	[CTR_CLAIM_REPEATS] = {"claim_repeats",
			       "Requests with a used idempotency key."},
	[CTR_LINK_BYTES] = {"link_bytes",
			    "Caller traffic to and from other regions."},
	[CTR_CONTROL_LINK_BYTES] = {"control_link_bytes",
				    "Control traffic to other regions."},
	[CTR_PEER_REJECTED] = {"peer_rejected_messages",
			       "Peer messages that were replayed, "
			       "of an earlier process or in this "
			       "VM's name."},
	[CTR_BUNDLE_REFUSED] = {"bundle_refused", "Bundles refused."},
	[CTR_BACKEND_CONNECTIONS] = {"backend_connections",
				     "Connections opened to backend servers."},
	[CTR_BACKEND_CONNECTIONS_DROPPED] =
		{"backend_connections_dropped",
		 "Connections closed as not reusable."},
	[CTR_RELOADS] = {"reloads", "Changes of the settings that took "
				    "effect."},
	[CTR_RELOAD_ERRORS] = {"reload_errors",
			       "Changed settings that are invalid."},
	[CTR_STORE_ERAS] = {"store_eras",
			    "Eras of the store heard, the first included."},
	[CTR_MEMORY_REFUSED] = {"memory_refused",
				"Requests refused as not run, as too much was "
				"held for callers or their body stalled."},
	[CTR_MEMORY_CLOSED] = {"memory_closed",
			       "Connections reset for the same reason."},
	[CTR_CLOSED_FOR_ROOM] = {"closed_for_room",
				 "Connections closed for new ones, as too many "
				 "descriptors were open."},
	[CTR_ADMIN_DENIED] = {"admin_denied",
			      "Administration requests without the right."},
};

static uint64_t counts[CTR_COUNT];

void ctr_add(enum ctr counter, uint64_t n)
{
	__atomic_add_fetch(&counts[counter], n, __ATOMIC_RELAXED);
}

uint64_t ctr_get(enum ctr counter)
{
	return __atomic_load_n(&counts[counter], __ATOMIC_RELAXED);
}

/* Upper bounds of the buckets; one more bucket has no bound. */
static const int64_t bucket_bounds_ms[] = {5,	10,   25,   50,	  100,	250,
					   500, 1000, 1500, 2500, 5000, 10000};

#define BOUND_COUNT (sizeof(bucket_bounds_ms) / sizeof(bucket_bounds_ms[0]))
#define NS_PER_MS INT64_C(1000000)

static struct {
	uint64_t buckets[BOUND_COUNT + 1];
	uint64_t sum_ns;
} histograms[CTR_HISTOGRAM_COUNT];

static const struct metric_def histogram_defs[CTR_HISTOGRAM_COUNT] = {
	[CTR_REQUEST_DURATION] = {"request",
				  "From a request to the end of its answer."},
	[CTR_BACKEND_DURATION] = {"backend",
				  "From sending to a backend server to its "
				  "complete answer."},
	[CTR_QUEUE_WAIT] = {"queue_wait_priority_0",
			    "Wait for a slot, most urgent requests."},
	[CTR_QUEUE_WAIT + 1] = {"queue_wait_priority_1",
				"Wait for a slot, priority 1."},
	[CTR_QUEUE_WAIT + 2] = {"queue_wait_priority_2",
				"Wait for a slot, priority 2."},
	[CTR_QUEUE_WAIT + 3] = {"queue_wait_priority_3",
				"Wait for a slot, priority 3 and below."},
};

void ctr_observe(enum ctr_histogram histogram, int64_t ns)
{
	size_t i = 0;

	while (i < BOUND_COUNT && ns > bucket_bounds_ms[i] * NS_PER_MS)
		i++;
	__atomic_add_fetch(&histograms[histogram].buckets[i], 1,
			   __ATOMIC_RELAXED);
	__atomic_add_fetch(&histograms[histogram].sum_ns, (uint64_t)ns,
			   __ATOMIC_RELAXED);
}

static uint64_t queue_lengths[CTR_QUEUE_PRIORITIES];

static uint32_t queue_of(uint32_t priority)
{
	return priority < CTR_QUEUE_PRIORITIES ? priority
					       : CTR_QUEUE_PRIORITIES - 1;
}

void ctr_observe_queue_wait(uint32_t priority, int64_t ns)
{
	ctr_observe(CTR_QUEUE_WAIT + queue_of(priority), ns);
}

void ctr_set_queue_length(uint32_t priority, uint64_t length)
{
	__atomic_store_n(&queue_lengths[queue_of(priority)], length,
			 __ATOMIC_RELAXED);
}

static void write_queue_lengths(struct strbuf *out)
{
	int i;

	strbuf_add(out, STR("# HELP currantpaddle_queue_length Requests that "
			    "wait for a slot, by priority.\n"
			    "# TYPE currantpaddle_queue_length gauge\n"));
	for (i = 0; i < CTR_QUEUE_PRIORITIES; i++)
		strbuf_addf(out,
			    "currantpaddle_queue_length{priority=\"%d\"} "
			    "%llu\n",
			    i,
			    (unsigned long long)__atomic_load_n(
				    &queue_lengths[i], __ATOMIC_RELAXED));
}

static void write_histogram(struct strbuf *out, int histogram)
{
	const char *name = histogram_defs[histogram].name;
	uint64_t count = 0;
	size_t i;

	strbuf_addf(out,
		    "# HELP currantpaddle_%s_seconds %s\n"
		    "# TYPE currantpaddle_%s_seconds histogram\n",
		    name, histogram_defs[histogram].help, name);
	for (i = 0; i <= BOUND_COUNT; i++) {
		count += __atomic_load_n(&histograms[histogram].buckets[i],
					 __ATOMIC_RELAXED);
		strbuf_addf(out, "currantpaddle_%s_seconds_bucket{le=\"", name);
		if (i < BOUND_COUNT)
			strbuf_addf(out, "%g",
				    (double)bucket_bounds_ms[i] / 1000);
		else
			strbuf_add(out, STR("+Inf"));
		strbuf_addf(out, "\"} %llu\n", (unsigned long long)count);
	}
	strbuf_addf(out,
		    "currantpaddle_%s_seconds_sum %.6f\n"
		    "currantpaddle_%s_seconds_count %llu\n",
		    name,
		    (double)__atomic_load_n(&histograms[histogram].sum_ns,
					    __ATOMIC_RELAXED) /
			    1e9,
		    name, (unsigned long long)count);
}

void ctr_write(struct strbuf *out)
{
	int i;

	for (i = 0; i < CTR_COUNT; i++)
		strbuf_addf(out,
			    "# HELP currantpaddle_%s_total %s\n"
			    "# TYPE currantpaddle_%s_total counter\n"
			    "currantpaddle_%s_total %llu\n",
			    counter_defs[i].name, counter_defs[i].help,
			    counter_defs[i].name, counter_defs[i].name,
			    (unsigned long long)ctr_get(i));
	for (i = 0; i < CTR_HISTOGRAM_COUNT; i++)
		write_histogram(out, i);
	write_queue_lengths(out);
}
