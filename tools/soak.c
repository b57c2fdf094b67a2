/*
 * Load generator and checker of the fault soak. Each caller gets the addresses
 * of edge VMs from their directory port, reuses its connection while it is open
 * and listed, and sends requests of all kinds one after the other. At the end,
 * the outcomes that the responses stated are compared with the runs that the
 * backend servers recorded.
 *
 *   soak -s SEED -t SECONDS -q QUIET -r RUNS-DIR -p PORT VM-ADDRESS...
 *
 * The quiet period is the last QUIET seconds, in which no fault is injected: of
 * the requests that start in it, at most one in a hundred may fail. The
 * directory port is PORT + 2. Prints a line for each violated guarantee, then
 * the totals; exits with 1 after a violation.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_body.h"
#include "hash_index.h"
#include "response_head.h"
#include "timer.h"

#define CALLERS 12
#define MAX_VMS 16
#define ADDRESS_BYTES 32
#define ID_BYTES 48
#define UPLOAD_BYTES 100000
#define UNSAFE_BODY_BYTES 40
#define DEADLINE_MS 4000
#define CONNECT_TIMEOUT_MS 1000
/* A response is awaited for a second longer than the deadline. */
#define RESPONSE_TIMEOUT_MS (DEADLINE_MS + 1000)
#define ADDRESS_TTL_NS (2 * NS_PER_S)
#define MAX_PAUSE_US 40000
#define MAX_VIOLATION_LINES 40
/* In the quiet period, at most one in this many requests may fail. */
#define QUIET_REQUESTS_PER_FAILURE 100

enum request_kind {
	REQUEST_SAFE,
	REQUEST_UNSAFE,
	REQUEST_UPLOAD,
	REQUEST_KINDS
};

enum outcome {
	OUTCOME_SERVED,
	/* By its status, the response says that the request did not run. */
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOMES,
};

static const char *const kind_names[] = {"safe", "unsafe", "upload"};
static const char *const outcome_names[] = {"served", "not run", "unknown"};

struct request_record {
	char id[ID_BYTES];
	enum request_kind kind;
	enum outcome outcome;
	/* The request started in the quiet period. */
	bool quiet;
	/* As recorded by the backend servers. */
	uint32_t runs;
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
	pthread_mutex_t lock;
} soak = {.lock = PTHREAD_MUTEX_INITIALIZER};

__attribute__((format(printf, 2, 3))) static void
report_violation(const char *id, const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&soak.lock);
	if (soak.violations++ < MAX_VIOLATION_LINES) {
		printf("BROKEN %s: ", id);
		va_start(args, fmt);
		vprintf(fmt, args);
		va_end(args);
		printf("\n");
	}
	pthread_mutex_unlock(&soak.lock);
}

static uint64_t random_below(struct caller *c, uint64_t below)
{
	c->random ^= c->random << 13;
	c->random ^= c->random >> 7;
	c->random ^= c->random << 17;
	return (c->random * UINT64_C(0x2545f4914f6cdd1d) >> 11) % below;
}

static void close_connection(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static int connect_to(const char *address, uint16_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(port)};
	struct timeval limit = {CONNECT_TIMEOUT_MS / 1000, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, address, &to.sin_addr);
	/* Also limits connect(). */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (void *)&to, sizeof(to)))
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, struct str bytes)
{
	while (bytes.len) {
		ssize_t n = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes = str_skip(bytes, (size_t)n);
	}
	return true;
}

struct response {
	struct strbuf bytes;
	struct rsp rsp;
	struct strbuf body;
	/* The head and the complete body were received. */
	bool complete;
	/* Bytes received after the response. */
	size_t trailing_bytes;
};

static void response_init(struct response *res)
{
	memset(res, 0, sizeof(*res));
	strbuf_init(&res->bytes);
	strbuf_init(&res->body);
}

static void response_free(struct response *res)
{
	strbuf_free(&res->bytes);
	strbuf_free(&res->body);
}

/* Parses the bytes received so far; returns NULL, or why they are invalid. */
static const char *parse_response(struct response *res)
{
	struct str in = strbuf_view(&res->bytes);
	size_t head = hreq_head_len(in);
	struct hbod body;
	const char *fault;

	if (!head)
		return NULL;
	fault = rsp_parse(&res->rsp, (struct str){in.ptr, head}, false);
	if (fault)
		return fault;
	in = str_skip(in, head);
	strbuf_reset(&res->body);
	hbod_init(&body,
		  &(struct hreq){.chunked = res->rsp.chunked,
				 .has_length = res->rsp.length >= 0,
				 .length = res->rsp.length > 0
						   ? (uint64_t)res->rsp.length
						   : 0});
	while (in.len && body.state != HBOD_DONE &&
	       body.state != HBOD_MALFORMED) {
		struct str data = STR_NONE;
		size_t used = hbod_decode(&body, in, &data);

		strbuf_add(&res->body, data);
		in = str_skip(in, used);
	}
	res->complete = body.state == HBOD_DONE;
	res->trailing_bytes = res->complete ? in.len : 0;
	return body.state == HBOD_MALFORMED ? "malformed chunks" : NULL;
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
		fault = parse_response(res);
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
	const char *vm = soak.vms[random_below(c, soak.vm_count)];
	int fd = connect_to(vm, (uint16_t)(soak.port + 2));
	struct response res;

	if (fd < 0)
		return;
	response_init(&res);
	if (send_all(fd, STR("GET /resolve?name=h.example&region=ra&zone=z0 "
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
		 str_from(c->addresses[random_below(c, c->address_count)]));
	c->fd = connect_to(c->vm, soak.port);
	return c->fd >= 0;
}

static void make_body(const struct request_record *r, struct strbuf *out)
{
	size_t len = r->kind == REQUEST_UPLOAD ? UPLOAD_BYTES
					       : UNSAFE_BODY_BYTES;

	strbuf_reset(out);
	while (r->kind != REQUEST_SAFE && out->len < len)
		strbuf_addf(out, "%s ", r->id);
}

static enum outcome check_response(const struct request_record *r,
				   const struct response *res, struct str body)
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
	if (!str_eq(own, body.len ? body : STR("ok")))
		report_violation(r->id, "unexpected body of %zu bytes",
				 own.len);
	return OUTCOME_SERVED;
}

static void send_request(struct caller *c, struct request_record *r)
{
	struct strbuf head, body;
	struct response res;
	bool keep;

	strbuf_init(&head);
	strbuf_init(&body);
	response_init(&res);
	make_body(r, &body);
	strbuf_addf(&head,
		    "%s /%s/x HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    r->kind == REQUEST_SAFE ? "GET" : "POST",
		    kind_names[r->kind], r->id, DEADLINE_MS, body.len);
	if (send_all(c->fd, strbuf_view(&head)) &&
	    send_all(c->fd, strbuf_view(&body)))
		receive_response(c->fd,
				 tmr_now() + RESPONSE_TIMEOUT_MS * NS_PER_MS,
				 r->id, &res);
	r->outcome = check_response(r, &res, strbuf_view(&body));
	keep = res.complete && res.rsp.keep_alive && !res.trailing_bytes;
	if (!keep)
		close_connection(c);
	response_free(&res);
	strbuf_free(&body);
	strbuf_free(&head);
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;

	while (tmr_now() < soak.end_ns) {
		struct request_record r = {.runs = 0};
		void *row;

		usleep((useconds_t)random_below(c, MAX_PAUSE_US));
		if (!ensure_connected(c))
			continue;
		snprintf(r.id, sizeof(r.id), "s%llu-%d-%llu",
			 (unsigned long long)soak.seed, c->number,
			 (unsigned long long)c->sent++);
		r.kind = (enum request_kind)random_below(c, REQUEST_KINDS);
		r.quiet = tmr_now() > soak.quiet_start_ns;
		send_request(c, &r);
		tab_add(&c->records, &row);
		*(struct request_record *)row = r;
	}
	close_connection(c);
	return NULL;
}

static void read_run_file(struct idx *by_id, struct tab *all, const char *path)
{
	char line[256];
	FILE *f = fopen(path, "r");

	if (!f) {
		report_violation(path, "cannot read the recorded runs");
		return;
	}
	while (fgets(line, sizeof(line), f)) {
		struct str id = str_trim(str_from(line));
		struct request_record *r =
			tab_get(all, idx_get(by_id, str_hash(id)));

		if (r)
			r->runs++;
	}
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
	if (r->kind != REQUEST_SAFE && r->runs > 1)
		report_violation(r->id, "%s ran %u times", kind_names[r->kind],
				 r->runs);
	if (r->kind != REQUEST_SAFE && r->outcome == OUTCOME_NOT_RUN && r->runs)
		report_violation(r->id, "reported as not run, but ran");
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
	sleep(DEADLINE_MS / 1000 + 1);
	check_all(callers);
	for (i = 0; i < CALLERS; i++)
		tab_free(&callers[i].records);
	return soak.violations ? 1 : 0;
}
