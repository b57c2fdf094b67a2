/*
 * Load generator and checker of the fault soak. Each caller gets the addresses
 * of edge VMs from their directory port, reuses its connection while it is open
 * and listed or closes it after a few requests, and sends requests of all kinds
 * (soak_request.h), with a length or chunked, at once or in pieces, some of
 * them pipelined, some broken off before their end. At the end, the outcomes
 * that the responses stated are compared with the runs that the backend servers
 * recorded; each run must be of a request that was sent, and the servers
 * (serverd with "check") must have got what was sent.
 *
 *   soak -s SEED -t SECONDS -q QUIET -r RUNS-DIR -p PORT VM-ADDRESS...
 *
 * The quiet period is the last QUIET seconds, in which no fault is injected: of
 * the requests that start in it, at most one in a hundred may fail. The
 * directory port is PORT + 2. Prints a line for each violated guarantee, then
 * the totals; exits with 1 after a violation.
 */
#include <dirent.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hash_index.h"
#include "soak_message.h"
#include "timer.h"

#define CALLERS 20
#define MAX_VMS 16
#define ADDRESS_BYTES 32
/* A response is awaited for a second longer than the deadline. */
#define RESPONSE_TIMEOUT_MS (SMSG_DEADLINE_MS + 1000)
#define ADDRESS_TTL_NS (2 * NS_PER_S)
#define MAX_PAUSE_US 40000
#define MAX_VIOLATION_LINES 40
/* In the quiet period, at most one in this many requests may fail. */
#define QUIET_REQUESTS_PER_FAILURE 100

#define MAX_PIPELINED 3
#define MAX_PIECES 6
#define MAX_PIECE_PAUSE_MS 30
/* One in this many batches of requests: is pipelined, is broken off, is the
 * last one of its connection. */
#define BATCHES_PER_PIPELINE 5
#define BATCHES_PER_CUT 12
#define BATCHES_PER_CLOSE 4

enum outcome {
	OUTCOME_SERVED,
	/* By its status, the response says that the request did not run. */
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOMES,
};

static const char *const outcome_names[] = {"served", "not run", "unknown"};

struct request_record {
	char id[SREQ_ID_BYTES];
	enum sreq_kind kind;
	enum outcome outcome;
	/* The request started in the quiet period. */
	bool quiet;
	/* The caller broke it off before its end. */
	bool cut;
	/* As recorded by the backend servers. */
	uint32_t runs;
	/* Of these runs, those that were answered before the body was read. */
	uint32_t early_runs;
};

struct caller {
	int number;
	uint64_t random;
	int fd;
	char vm[ADDRESS_BYTES];
	char addresses[MAX_VMS][ADDRESS_BYTES];
	size_t address_count;
	int64_t addresses_read_ns;
	struct tab records;
	uint64_t sent;
};

static struct {
	uint64_t seed;
	int64_t end_ns;
	int64_t quiet_start_ns;
	const char *runs_dir;
	uint16_t port;
	char **vms;
	size_t vm_count;
	/* Violated guarantees. */
	unsigned violations;
	/* Lines printed of this group of violations. */
	unsigned lines;
	pthread_mutex_t lock;
} soak = {.lock = PTHREAD_MUTEX_INITIALIZER};

__attribute__((format(printf, 2, 3))) static void
report_violation(const char *id, const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&soak.lock);
	soak.violations++;
	if (soak.lines++ < MAX_VIOLATION_LINES) {
		printf("BROKEN %s: ", id);
		va_start(args, fmt);
		vprintf(fmt, args);
		va_end(args);
		printf("\n");
	}
	pthread_mutex_unlock(&soak.lock);
}

static void close_connection(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

/* Reads a response until it is complete, the connection ends or time is up. */
static void receive_response(int fd, int64_t until_ns, const char *id,
			     struct response *res)
{
	while (!res->complete) {
		int left_ms = (int)((until_ns - tmr_now()) / NS_PER_MS);
		struct pollfd p = {.fd = fd, .events = POLLIN};
		char bytes[16384];
		const char *fault;
		ssize_t n;

		if (left_ms <= 0 || poll(&p, 1, left_ms) <= 0)
			return;
		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0)
			return;
		strbuf_add(&res->bytes, (struct str){bytes, (size_t)n});
		fault = response_parse(res);
		if (fault) {
			report_violation(id, "invalid response: %s", fault);
			return;
		}
	}
}

/* Extracts the quoted ADDRESS:PORT strings from a directory response. */
static void parse_addresses(struct caller *c, struct str body)
{
	c->address_count = 0;
	while (body.len && c->address_count < MAX_VMS) {
		struct str item;

		str_split(&body, '"');
		item = str_split(&body, '"');
		if (memchr(item.ptr ? item.ptr : "", ':', item.len) &&
		    str_starts_with(item, STR("127.")))
			str_copy(c->addresses[c->address_count++],
				 ADDRESS_BYTES, str_split(&item, ':'));
	}
}

static void fetch_addresses(struct caller *c)
{
	const char *vm = soak.vms[smsg_random(&c->random, soak.vm_count)];
	int fd = smsg_connect(vm, (uint16_t)(soak.port + 2));
	struct response res;

	if (fd < 0)
		return;
	response_init(&res);
	if (smsg_send_all(fd,
			  STR("GET /resolve?name=h.example&region=ra&zone=z0 "
			      "HTTP/1.1\r\nHost: d\r\n\r\n")))
		receive_response(fd, tmr_now() + NS_PER_S, "addresses", &res);
	if (res.complete && res.rsp.status == 200) {
		parse_addresses(c, strbuf_view(&res.body));
		c->addresses_read_ns = tmr_now();
	}
	response_free(&res);
	close(fd);
}

static bool is_listed(const struct caller *c)
{
	size_t i;

	for (i = 0; i < c->address_count; i++)
		if (!strcmp(c->vm, c->addresses[i]))
			return true;
	return false;
}

static bool ensure_connected(struct caller *c)
{
	if (tmr_now() - c->addresses_read_ns > ADDRESS_TTL_NS)
		fetch_addresses(c);
	if (c->fd >= 0 && is_listed(c))
		return true;
	close_connection(c);
	if (!c->address_count)
		return false;
	str_copy(c->vm, sizeof(c->vm),
		 str_from(c->addresses[smsg_random(&c->random,
						   c->address_count)]));
	c->fd = smsg_connect(c->vm, soak.port);
	return c->fd >= 0;
}

static enum outcome check_response(const struct request_record *r,
				   const struct response *res)
{
	struct str own = strbuf_view(&res->body);

	if (!res->complete)
		return OUTCOME_UNKNOWN;
	if (res->trailing_bytes)
		report_violation(r->id, "%zu bytes after the response",
				 res->trailing_bytes);
	if (res->rsp.status == 404 || res->rsp.status == 400)
		report_violation(r->id, "status %d for a valid request",
				 res->rsp.status);
	if (res->rsp.status == 503 || res->rsp.status == 429 ||
	    res->rsp.status == 408 || res->rsp.status == 421)
		return OUTCOME_NOT_RUN;
	if (res->rsp.status / 100 != 2)
		return OUTCOME_UNKNOWN;
	if (!str_eq(rsp_get(&res->rsp, STR("request-id")), str_from(r->id)))
		report_violation(r->id, "response to another request");
	if (!rsp_get(&res->rsp, STR("response-signature")).len)
		report_violation(r->id, "success without a signature");
	if (!smsg_is_response(str_from(r->id), own))
		report_violation(r->id, "unexpected body of %zu bytes",
				 own.len);
	return OUTCOME_SERVED;
}

/* Requests that are sent together on a connection. */
struct batch {
	struct request_record requests[MAX_PIPELINED];
	size_t count;
	/* Requests whose responses are complete. */
	size_t done;
	struct strbuf out;
	size_t sent;
	/* Where a pause follows, in ascending order; the last one is the end.
	 */
	size_t pieces[MAX_PIECES];
	size_t piece_count;
	bool cut;
	/* The connection cannot be used again. */
	bool last;
};

static void fill_batch(struct caller *c, struct batch *b)
{
	bool quiet = tmr_now() > soak.quiet_start_ns;
	size_t i, last_start = 0, end;

	memset(b, 0, sizeof(*b));
	strbuf_init(&b->out);
	b->count = 1;
	b->cut = !smsg_random(&c->random, BATCHES_PER_CUT);
	if (!smsg_random(&c->random, BATCHES_PER_PIPELINE))
		b->count = 2 + smsg_random(&c->random, MAX_PIPELINED - 1);
	for (i = 0; i < b->count; i++) {
		struct request_record *r = &b->requests[i];
		struct sreq sent;

		sreq_id(r->id, soak.seed, (uint64_t)c->number, c->sent++);
		if (!sreq_from_id(&sent, str_from(r->id)))
			abort();
		r->kind = sent.kind;
		/* A batch that is broken off awaits no response. */
		r->quiet = quiet && !b->cut;
		r->outcome = OUTCOME_UNKNOWN;
		last_start = b->out.len;
		smsg_add_request(&c->random, &sent, &b->out);
	}
	end = b->out.len;
	if (b->cut) {
		end = last_start + smsg_random(&c->random, end - last_start);
		b->requests[b->count - 1].cut = true;
	}
	b->last = b->cut || !smsg_random(&c->random, BATCHES_PER_CLOSE);
	if (smsg_random(&c->random, 2))
		b->piece_count = smsg_random(&c->random, MAX_PIECES);
	for (i = 0; i < b->piece_count; i++) {
		size_t from = i ? b->pieces[i - 1] : 0;

		b->pieces[i] = from + smsg_random(&c->random, end - from + 1);
	}
	b->pieces[b->piece_count++] = end;
}

/* Sends what the connection takes; false if it is broken. */
static bool send_some(struct caller *c, struct batch *b, int64_t *pause_end_ns)
{
	size_t i = 0;
	ssize_t n;

	while (i + 1 < b->piece_count && b->pieces[i] <= b->sent)
		i++;
	n = send(c->fd, b->out.ptr + b->sent, b->pieces[i] - b->sent,
		 MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0)
		return errno == EAGAIN;
	b->sent += (size_t)n;
	if (b->sent == b->pieces[i] && i + 1 < b->piece_count)
		*pause_end_ns =
			tmr_now() +
			(int64_t)smsg_random(&c->random,
					     MAX_PIECE_PAUSE_MS * NS_PER_MS);
	return true;
}

/* Takes the complete responses; false if the connection ends with one. */
static bool take_responses(struct batch *b, struct response *res)
{
	while (b->done < b->count && res->bytes.len) {
		struct request_record *r = &b->requests[b->done];
		const char *fault = response_parse(res);
		size_t trailing;
		bool keep;

		if (fault)
			report_violation(r->id, "invalid response: %s", fault);
		if (fault || !res->complete)
			return !fault;
		trailing = res->trailing_bytes;
		keep = res->rsp.keep_alive;
		if (keep && b->done + 1 < b->count)
			res->trailing_bytes = 0;
		r->outcome = check_response(r, res);
		keep &= !res->trailing_bytes;
		b->done++;
		response_next(res, trailing);
		if (!keep)
			return false;
	}
	return true;
}

/* Sends and receives until all is done, the connection ends or time is up. */
static bool exchange(struct caller *c, struct batch *b, struct response *res)
{
	size_t end = b->pieces[b->piece_count - 1];
	int64_t until_ns = tmr_now() + RESPONSE_TIMEOUT_MS * NS_PER_MS;
	int64_t pause_end_ns = 0;

	while (b->sent < end || (!b->cut && b->done < b->count)) {
		int64_t now_ns = tmr_now();
		bool sends = b->sent < end && now_ns >= pause_end_ns;
		struct pollfd p = {
			.fd = c->fd,
			.events = (short)(POLLIN | (sends ? POLLOUT : 0))};
		char bytes[16384];
		size_t done = b->done;
		ssize_t n;

		if (now_ns >= until_ns ||
		    poll(&p, 1, b->sent < end && !sends ? 1 : 100) < 0)
			return false;
		if ((p.revents & POLLOUT) && !send_some(c, b, &pause_end_ns))
			return false;
		if (!(p.revents & (POLLIN | POLLHUP | POLLERR)))
			continue;
		n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0 && errno == EAGAIN)
			continue;
		if (n <= 0)
			return false;
		strbuf_add(&res->bytes, (struct str){bytes, (size_t)n});
		if (!take_responses(b, res))
			return false;
		if (b->done > done)
			until_ns = tmr_now() + RESPONSE_TIMEOUT_MS * NS_PER_MS;
	}
	return !b->last;
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;

	while (tmr_now() < soak.end_ns) {
		struct response res;
		struct batch b;
		size_t i;

		usleep((useconds_t)smsg_random(&c->random, MAX_PAUSE_US));
		if (!ensure_connected(c))
			continue;
		fill_batch(c, &b);
		response_init(&res);
		if (!exchange(c, &b, &res))
			close_connection(c);
		for (i = 0; i < b.count; i++) {
			void *row;

			tab_add(&c->records, &row);
			*(struct request_record *)row = b.requests[i];
		}
		response_free(&res);
		strbuf_free(&b.out);
	}
	close_connection(c);
	return NULL;
}

static void read_run(struct idx *by_id, struct tab *all, struct str line)
{
	bool early = str_starts_with(line, STR("early "));
	struct request_record *r;
	struct sreq sent;
	char text[400];

	str_copy(text, sizeof(text), line);
	if (str_starts_with(line, STR("violation "))) {
		report_violation("at a server", "%s", text);
		return;
	}
	if (early)
		str_split(&line, ' ');
	r = tab_get(all, idx_get(by_id, str_hash(line)));
	if (r && str_eq(line, str_from(r->id))) {
		r->runs++;
		r->early_runs += early;
	} else if (!sreq_from_id(&sent, line) || !sent.probe) {
		report_violation("at a server", "ran what nobody sent: %s",
				 text);
	}
}

static void read_run_file(struct idx *by_id, struct tab *all, const char *path)
{
	char line[512];
	FILE *f = fopen(path, "r");

	if (!f) {
		report_violation(path, "cannot read the recorded runs");
		return;
	}
	while (fgets(line, sizeof(line), f))
		read_run(by_id, all, str_trim(str_from(line)));
	fclose(f);
}

static void read_runs(struct idx *by_id, struct tab *all)
{
	DIR *dir = opendir(soak.runs_dir);
	struct dirent *entry;

	if (!dir) {
		report_violation(soak.runs_dir,
				 "cannot read the folder of recorded runs");
		return;
	}
	while ((entry = readdir(dir))) {
		char path[512];

		if (entry->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s", soak.runs_dir,
			 entry->d_name);
		read_run_file(by_id, all, path);
	}
	closedir(dir);
}

static void check_runs(const struct request_record *r)
{
	if (r->kind != SREQ_SAFE && r->runs > 1)
		report_violation(r->id, "%s ran %u times",
				 sreq_kind_names[r->kind], r->runs);
	if (r->kind != SREQ_SAFE && r->outcome == OUTCOME_NOT_RUN && r->runs)
		report_violation(r->id, "reported as not run, but ran");
	if (r->cut && r->runs > r->early_runs)
		report_violation(r->id, "broken off by its caller, but ran");
	if (r->outcome == OUTCOME_SERVED && !r->runs)
		report_violation(r->id, "reported as served, but did not run");
}

static void check_all(struct caller *callers)
{
	uint32_t totals[OUTCOMES] = {0}, quiet = 0, quiet_failures = 0;
	struct idx by_id;
	struct tab all;
	uint32_t i, k;

	idx_init(&by_id);
	tab_init(&all, sizeof(struct request_record));
	for (k = 0; k < CALLERS; k++)
		for (i = 0; i < callers[k].records.len; i++) {
			const struct request_record *r =
				tab_at(&callers[k].records, i);
			struct hnd h;
			void *row;

			h = tab_add(&all, &row);
			*(struct request_record *)row = *r;
			idx_put(&by_id, str_hash(str_from(r->id)), h);
		}
	soak.lines = 0;
	read_runs(&by_id, &all);
	for (i = 0; i < all.len; i++) {
		const struct request_record *r = tab_at(&all, i);

		check_runs(r);
		totals[r->outcome]++;
		quiet += r->quiet;
		quiet_failures += r->quiet && r->outcome != OUTCOME_SERVED;
	}
	if (!quiet || quiet_failures > quiet / QUIET_REQUESTS_PER_FAILURE)
		report_violation("quiet period",
				 "%u of %u requests were not served",
				 quiet_failures, quiet);
	for (i = 0; i < OUTCOMES; i++)
		printf("%s %u, ", outcome_names[i], totals[i]);
	printf("quiet period %u, not served in it %u, violations %u\n", quiet,
	       quiet_failures, soak.violations);
	idx_free(&by_id);
	tab_free(&all);
}

static int usage(void)
{
	fprintf(stderr, "usage: soak -s SEED -t SECONDS -q QUIET -r RUNS-DIR "
			"-p PORT VM-ADDRESS...\n");
	return 2;
}

static bool parse_options(int argc, char **argv)
{
	uint64_t value, seconds = 0, quiet = 0;
	int opt;

	while ((opt = getopt(argc, argv, "s:t:q:r:p:")) != -1) {
		if (opt == 'r') {
			soak.runs_dir = optarg;
			continue;
		}
		if (!str_parse_u64(str_from(optarg), &value))
			return false;
		if (opt == 's')
			soak.seed = value;
		else if (opt == 't')
			seconds = value;
		else if (opt == 'q')
			quiet = value;
		else if (opt == 'p')
			soak.port = (uint16_t)value;
		else
			return false;
	}
	soak.vms = argv + optind;
	soak.vm_count = (size_t)(argc - optind);
	soak.end_ns = tmr_now() + (int64_t)seconds * NS_PER_S;
	soak.quiet_start_ns = soak.end_ns - (int64_t)quiet * NS_PER_S;
	return seconds && soak.runs_dir && soak.port && soak.vm_count;
}

int main(int argc, char **argv)
{
	static struct caller callers[CALLERS];
	pthread_t threads[CALLERS];
	int i;

	if (!parse_options(argc, argv))
		return usage();
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->number = i;
		c->random = soak.seed * 64 + (uint64_t)i + 1;
		c->fd = -1;
		c->addresses_read_ns = -ADDRESS_TTL_NS;
		tab_init(&c->records, sizeof(struct request_record));
		if (pthread_create(&threads[i], NULL, run_caller, c)) {
			fprintf(stderr, "soak: cannot start caller %d\n", i);
			return 1;
		}
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	/* Requests without a response may still run until their deadline. */
	sleep(SMSG_DEADLINE_MS / 1000 + 1);
	check_all(callers);
	for (i = 0; i < CALLERS; i++)
		tab_free(&callers[i].records);
	return soak.violations ? 1 : 0;
}
