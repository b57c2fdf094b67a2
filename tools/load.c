/*
 * Load generator. Sends open-loop Poisson arrivals through the fleet as several
 * callers in different availability zones, which ask the fleet for addresses.
 * Checks that every response is complete and belongs to its request. With
 * --stubs, compares the reported outcomes with the runs that the backend server
 * stubs (backendd) recorded.
 */
#include <argtable2.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller_client.h"
#include "hash_index.h"

#define MAX_CALLERS 8
#define MAX_PATHS 8
/* Time for the last requests to complete after the last arrival. */
#define COMPLETION_TIMEOUT_NS (15 * NS_PER_S)
#define COMPLETION_POLL_NS (50 * NS_PER_MS)
#define IDS_PER_SEED 100000000
#define FETCH_TIMEOUT_MS 5000
#define FETCH_CHUNK_BYTES 65536

struct record {
	struct client_result result;
	bool is_write;
	/* Recorded by the backend server stubs; 0 without --stubs. */
	uint32_t runs;
};

struct load {
	struct loop loop;
	struct client *callers[MAX_CALLERS];
	size_t caller_count;
	char paths[MAX_PATHS][128];
	size_t path_count;
	double rate;
	double write_share;
	double keyed_share;
	uint64_t body_len;
	uint64_t response_len;
	int64_t begin_ns;
	int64_t end_ns;
	int64_t next_arrival_ns;
	uint64_t random;
	uint64_t next_id;
	struct tab records;
	struct idx by_id;
	FILE *trace;
};

struct totals {
	uint64_t sent;
	uint64_t answered;
	uint64_t server_errors;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t wrong;
	uint64_t attempts;
	/* Writes that ran more than once. */
	uint64_t double_runs;
	/* Reported as not run, but run by a backend server. */
	uint64_t false_not_run;
	/* Answered with status 200, but run by no backend server. */
	uint64_t false_answers;
};

/* Uniform number in [0, 1), by xorshift64*: its upper 53 bits over 2^53. */
static double next_unit(struct load *l)
{
	l->random ^= l->random << 13;
	l->random ^= l->random >> 7;
	l->random ^= l->random << 17;
	return (double)((l->random * UINT64_C(0x2545f4914f6cdd1d)) >> 11) /
	       9007199254740992.0;
}

static void on_result(void *ctx, const struct client_result *r)
{
	static const char *const names[] = {"answered", "not_run", "unknown",
					    "wrong"};
	struct load *l = ctx;
	struct record *rec = tab_get(&l->records, idx_get(&l->by_id, r->id));

	if (!rec)
		return;
	rec->result = *r;
	if (l->trace)
		fprintf(l->trace, "%llu %s %d %.3f %.3f %u %s\n",
			(unsigned long long)r->id, names[r->outcome], r->status,
			(double)(r->started_ns - l->begin_ns) / 1e6,
			(double)(r->ended_ns - r->started_ns) / 1e6,
			r->attempts, r->server);
}

static void send_random_request(struct load *l)
{
	struct client_request request = {.id = l->next_id++};
	size_t caller = (size_t)(next_unit(l) * (double)l->caller_count);
	size_t path = (size_t)(next_unit(l) * (double)l->path_count);
	bool is_write = next_unit(l) < l->write_share;
	struct record *rec;
	void *row;

	request.target = str_from(l->paths[path]);
	request.method = is_write ? "POST" : "GET";
	request.idempotent = !is_write;
	request.keyed = is_write && next_unit(l) < l->keyed_share;
	request.body_len = is_write ? l->body_len : 0;
	request.response_len = is_write ? 0 : l->response_len;
	idx_put(&l->by_id, request.id, tab_add(&l->records, &row));
	rec = row;
	rec->is_write = is_write;
	rec->result.outcome = CLIENT_UNKNOWN;
	rec->result.started_ns = tmr_now();
	client_send(l->callers[caller], &request);
}

static void on_arrival(void *ctx)
{
	struct load *l = ctx;
	int64_t now = tmr_now();

	/*
	 * Sends all arrivals that are due, including those that this process
	 * delayed, so that the rate holds.
	 */
	while (l->next_arrival_ns <= now && l->next_arrival_ns < l->end_ns) {
		send_random_request(l);
		l->next_arrival_ns +=
			(int64_t)(-log(1.0 - next_unit(l)) / l->rate * 1e9);
	}
	if (l->next_arrival_ns < l->end_ns)
		loop_add_timer(&l->loop, l->next_arrival_ns - tmr_now(),
			       on_arrival, l);
}

static uint32_t count_outstanding(const struct load *l)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < l->caller_count; i++)
		n += client_outstanding(l->callers[i]);
	return n;
}

/* Sends a GET request once the connection is established. */
static bool send_request(int fd, const char *path)
{
	struct pollfd writable = {fd, POLLOUT, 0};
	char request[256];
	int n;

	n = snprintf(request, sizeof(request),
		     "GET %s HTTP/1.1\r\nHost: stub\r\n"
		     "Connection: close\r\n\r\n",
		     path);
	return poll(&writable, 1, FETCH_TIMEOUT_MS) == 1 &&
	       send(fd, request, (size_t)n, MSG_NOSIGNAL) == n;
}

/* Fetches a response, head and body, up to the close of the connection. */
static bool fetch(const char *host, uint16_t port, const char *path,
		  struct strbuf *out)
{
	int fd = loop_connect(NULL, host, port);
	struct pollfd readable = {fd, POLLIN, 0};
	bool ok = false;
	ssize_t n = 0;

	if (fd < 0)
		return false;
	if (!send_request(fd, path))
		goto out;
	while (poll(&readable, 1, FETCH_TIMEOUT_MS) == 1) {
		strbuf_grow(out, FETCH_CHUNK_BYTES);
		n = recv(fd, out->ptr + out->len, FETCH_CHUNK_BYTES, 0);
		if (n <= 0)
			break;
		out->len += (size_t)n;
		out->ptr[out->len] = '\0';
	}
	ok = !n && out->len;
out:
	close(fd);
	return ok;
}

/* Adds the lines "LOAD-ID RUNS" of a response to the records. */
static void add_runs(struct load *l, struct str text)
{
	const char *body = strstr(text.ptr, "\r\n\r\n");
	struct str lines;

	if (!body)
		return;
	lines = str_from(body + 4);
	while (lines.len) {
		struct str line = str_split(&lines, '\n');
		struct str id = str_split(&line, ' ');
		struct record *rec;
		uint64_t number, runs;

		if (!str_parse_u64(id, &number) || !str_parse_u64(line, &runs))
			continue;
		rec = tab_get(&l->records, idx_get(&l->by_id, number));
		if (rec)
			rec->runs += (uint32_t)runs;
	}
}

static bool read_stub_runs(struct load *l, struct str list)
{
	while (list.len) {
		struct str address = str_split(&list, ',');
		struct str host = str_split(&address, ':');
		struct strbuf out;
		char name[64];
		uint64_t port;

		str_copy(name, sizeof(name), host);
		if (!str_parse_u64(address, &port))
			return false;
		strbuf_init(&out);
		if (!fetch(name, (uint16_t)port, "/stub/runs", &out)) {
			fprintf(stderr,
				"load: cannot fetch the recorded runs from "
				"%s\n",
				name);
			strbuf_free(&out);
			return false;
		}
		add_runs(l, strbuf_view(&out));
		strbuf_free(&out);
	}
	return true;
}

static void check_runs(const struct record *rec, struct totals *t)
{
	if (rec->is_write && rec->runs > 1)
		t->double_runs++;
	if (rec->result.outcome == CLIENT_NOT_RUN && rec->runs)
		t->false_not_run++;
	if (rec->result.outcome == CLIENT_ANSWERED &&
	    rec->result.status == 200 && !rec->runs)
		t->false_answers++;
}

static void count_results(struct load *l, bool with_runs, struct totals *t)
{
	uint32_t i;

	for (i = 0; i < l->records.len; i++) {
		const struct record *rec = tab_at(&l->records, i);

		t->sent++;
		t->attempts += rec->result.attempts;
		if (rec->result.outcome == CLIENT_ANSWERED) {
			t->answered++;
			t->server_errors += rec->result.status >= 500;
		}
		t->not_run += rec->result.outcome == CLIENT_NOT_RUN;
		t->unknown += rec->result.outcome == CLIENT_UNKNOWN;
		t->wrong += rec->result.outcome == CLIENT_WRONG;
		if (with_runs)
			check_runs(rec, t);
	}
}

/* Quantile q of n sorted latencies; 0 without any. */
static double latency_quantile(const double *sorted, size_t n, double q)
{
	return n ? gsl_stats_quantile_from_sorted_data(sorted, 1, n, q) : 0;
}

static void print_report(struct load *l, bool with_runs)
{
	struct totals t = {0};
	double *ms = calloc(l->records.len + 1, sizeof(*ms));
	size_t n = 0;
	uint32_t i;

	if (!ms)
		abort();
	count_results(l, with_runs, &t);
	for (i = 0; i < l->records.len; i++) {
		const struct record *rec = tab_at(&l->records, i);

		if (rec->result.outcome == CLIENT_ANSWERED)
			ms[n++] = (double)(rec->result.ended_ns -
					   rec->result.started_ns) /
				  1e6;
	}
	gsl_sort(ms, 1, n);
	printf("sent %llu\nanswered %llu\nserver_errors %llu\nnot_run %llu\n"
	       "unknown %llu\nwrong %llu\nattempts %llu\n",
	       (unsigned long long)t.sent, (unsigned long long)t.answered,
	       (unsigned long long)t.server_errors,
	       (unsigned long long)t.not_run, (unsigned long long)t.unknown,
	       (unsigned long long)t.wrong, (unsigned long long)t.attempts);
	if (with_runs)
		printf("double_runs %llu\nfalse_not_run %llu\n"
		       "false_answers %llu\n",
		       (unsigned long long)t.double_runs,
		       (unsigned long long)t.false_not_run,
		       (unsigned long long)t.false_answers);
	printf("p50_ms %.3f\np90_ms %.3f\np99_ms %.3f\nmax_ms %.3f\n",
	       latency_quantile(ms, n, 0.5), latency_quantile(ms, n, 0.9),
	       latency_quantile(ms, n, 0.99), n ? ms[n - 1] : 0);
	free(ms);
}

struct args {
	struct arg_lit *help;
	struct arg_str *entry;
	struct arg_str *zones;
	struct arg_lit *direct;
	struct arg_dbl *rate;
	struct arg_dbl *seconds;
	struct arg_int *seed;
	struct arg_str *paths;
	struct arg_dbl *writes;
	struct arg_dbl *keyed;
	struct arg_int *body;
	struct arg_int *answer;
	struct arg_int *attempts;
	struct arg_int *timeout;
	struct arg_str *stubs;
	struct arg_file *trace;
	struct arg_end *end;
};

static size_t read_seeds(struct client_opts *opts, struct str list)
{
	while (list.len && opts->seed_count < CLIENT_MAX_SEEDS) {
		struct str address = str_split(&list, ',');
		struct str host = str_split(&address, ':');
		struct client_vm *vm = &opts->seeds[opts->seed_count];
		uint64_t port;

		if (!str_parse_u64(address, &port))
			return 0;
		str_copy(vm->host, sizeof(vm->host), host);
		vm->port = (uint16_t)port;
		opts->seed_count++;
	}
	return opts->seed_count;
}

static void create_callers(struct load *l, const struct args *a,
			   struct client_opts *opts)
{
	struct str zones = str_from(a->zones->sval[0]);

	do {
		opts->zone = str_split(&zones, ',');
		opts->random_seed =
			(uint64_t)a->seed->ival[0] * 100 + l->caller_count;
		l->callers[l->caller_count++] = client_new(opts, on_result, l);
	} while (zones.len && l->caller_count < MAX_CALLERS);
}

static int run_load(const struct args *a)
{
	static struct load l;
	struct client_opts opts = {.loop = &l.loop};
	struct str paths = str_from(a->paths->sval[0]);

	if (loop_init(&l.loop) ||
	    !read_seeds(&opts, str_from(a->entry->sval[0])))
		return 2;
	opts.direct = a->direct->count > 0;
	opts.max_attempts = a->attempts->ival[0];
	opts.timeout_ns = a->timeout->ival[0] * NS_PER_MS;
	while (paths.len && l.path_count < MAX_PATHS)
		str_copy(l.paths[l.path_count++], sizeof(l.paths[0]),
			 str_split(&paths, ','));
	tab_init(&l.records, sizeof(struct record));
	idx_init(&l.by_id);
	l.random = (uint64_t)a->seed->ival[0] * 2 + 1;
	/* Runs with other seeds use other ids at the same backend servers. */
	l.next_id = (uint64_t)a->seed->ival[0] * IDS_PER_SEED + 1;
	l.rate = a->rate->dval[0];
	l.write_share = a->writes->dval[0];
	l.keyed_share = a->keyed->dval[0];
	l.body_len = (uint64_t)a->body->ival[0];
	l.response_len = (uint64_t)a->answer->ival[0];
	if (a->trace->count) {
		l.trace = fopen(a->trace->filename[0], "w");
		if (!l.trace)
			return 1;
	}
	create_callers(&l, a, &opts);
	l.begin_ns = tmr_now();
	l.next_arrival_ns = l.begin_ns;
	l.end_ns = l.begin_ns + (int64_t)(a->seconds->dval[0] * 1e9);
	on_arrival(&l);
	loop_run(&l.loop, l.end_ns);
	while (count_outstanding(&l) &&
	       tmr_now() < l.end_ns + COMPLETION_TIMEOUT_NS)
		loop_run(&l.loop, tmr_now() + COMPLETION_POLL_NS);
	if (l.trace)
		fclose(l.trace);
	if (a->stubs->count && !read_stub_runs(&l, str_from(a->stubs->sval[0])))
		return 1;
	print_report(&l, a->stubs->count > 0);
	return 0;
}

int main(int argc, char **argv)
{
	struct args a = {
		.help = arg_lit0("h", "help", "print this help"),
		.entry = arg_str1("e", "entry", "ADDR:PORT,...",
				  "entry VMs to ask for addresses"),
		.zones = arg_str0("z", "zones", "ZONE,...",
				  "a caller in each of these zones"),
		.direct = arg_lit0(NULL, "direct",
				   "send to the first --entry, do not ask"),
		.rate = arg_dbl0("r", "rate", "N", "requests a second"),
		.seconds = arg_dbl0("t", "seconds", "N", "duration"),
		.seed = arg_int0("s", "seed", "N", "seed of the arrivals"),
		.paths = arg_str0("p", "paths", "PATH,...", "request targets"),
		.writes = arg_dbl0("w", "writes", "SHARE", "share of POST"),
		.keyed = arg_dbl0("k", "keyed", "SHARE",
				  "share of POST with an idempotency key"),
		.body = arg_int0(NULL, "body", "BYTES", "size of POST bodies"),
		.answer = arg_int0(NULL, "answer", "BYTES",
				   "size of pattern responses to GET"),
		.attempts = arg_int0(NULL, "attempts", "N", "per request"),
		.timeout = arg_int0(NULL, "timeout-ms", "N", "per attempt"),
		.stubs = arg_str0(NULL, "stubs", "ADDR:PORT,...",
				  "stubs whose recorded runs are compared"),
		.trace = arg_file0(NULL, "trace", "FILE",
				   "a line for each request"),
		.end = arg_end(8),
	};
	int errors, code = 2;

	a.zones->sval[0] = "";
	a.rate->dval[0] = 100;
	a.seconds->dval[0] = 5;
	a.seed->ival[0] = 1;
	a.paths->sval[0] = "/";
	a.writes->dval[0] = 0;
	a.keyed->dval[0] = 0;
	a.body->ival[0] = 100;
	a.answer->ival[0] = 0;
	a.attempts->ival[0] = 4;
	a.timeout->ival[0] = 10000;
	signal(SIGPIPE, SIG_IGN);
	errors = arg_parse(argc, argv, (void **)&a);
	if (a.help->count) {
		printf("usage: load");
		arg_print_syntax(stdout, (void **)&a, "\n");
		arg_print_glossary(stdout, (void **)&a, "  %-28s %s\n");
		code = 0;
	} else if (errors) {
		arg_print_errors(stderr, a.end, "load");
	} else {
		code = run_load(&a);
	}
	arg_freetable((void **)&a, sizeof(a) / sizeof(void *));
	return code;
}
