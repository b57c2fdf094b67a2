/*
 * Callers of the fault soak, and its judge. Each caller asks edge VMs for
 * addresses, keeps its connection until it ends, and sends requests of all
 * kinds one after the other. At the end, what the callers were told is compared
 * with the backend servers' record of runs.
 *
 *   soak -s SEED -t SECONDS -q QUIET -r RUNS-DIR -p PORT VM-ADDRESS...
 *
 * Requests that begin in the last QUIET seconds must be served, apart from one
 * in a hundred. The directory port is PORT + 2. Prints a line for each broken
 * promise, then the totals; exits with 1 when a promise was broken.
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

#include "hbod.h"
#include "idx.h"
#include "rsp.h"
#include "tmr.h"

#define CALLERS 12
#define MAX_VMS 16
#define ADDRESS_BYTES 32
#define ID_BYTES 48
#define UPLOAD_BYTES 100000
#define BOOKING_BYTES 40
#define DEADLINE_MS 4000
#define CONNECT_MS 1000
/* After its deadline a request is given up. */
#define ANSWER_MS (DEADLINE_MS + 1000)
#define ADDRESS_NS (2 * NS_PER_S)
#define MAX_PAUSE_US 40000
#define MAX_BAD_LINES 40
/* Share of the quiet requests that may fail, as its inverse. */
#define QUIET_SHARE 100

enum kind { KIND_SAFE, KIND_UNSAFE, KIND_UPLOAD, KINDS };

enum outcome {
	OUT_SERVED,
	/* A status that promises that the request did not run. */
	OUT_NOT_RUN,
	OUT_UNKNOWN,
	OUT_OUTCOMES,
};

static const char *const kind_names[] = {"safe", "unsafe", "upload"};
static const char *const outcome_names[] = {"served", "not run", "unknown"};

struct record {
	char id[ID_BYTES];
	enum kind kind;
	enum outcome outcome;
	bool quiet;
	uint32_t runs;
};

struct caller {
	int number;
	uint64_t random;
	int fd;
	char vm[ADDRESS_BYTES];
	char addresses[MAX_VMS][ADDRESS_BYTES];
	size_t address_count;
	int64_t asked_ns;
	struct tab records;
	uint64_t sent;
};

static struct {
	uint64_t seed;
	int64_t end_ns;
	int64_t quiet_ns;
	const char *runs_dir;
	uint16_t port;
	char **vms;
	size_t vm_count;
	/* Broken promises. */
	unsigned bad;
	pthread_mutex_t lock;
} soak = {.lock = PTHREAD_MUTEX_INITIALIZER};

__attribute__((format(printf, 2, 3))) static void report(const char *id,
							 const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&soak.lock);
	if (soak.bad++ < MAX_BAD_LINES) {
		printf("BROKEN %s: ", id);
		va_start(args, fmt);
		vprintf(fmt, args);
		va_end(args);
		printf("\n");
	}
	pthread_mutex_unlock(&soak.lock);
}

static uint64_t draw(struct caller *c, uint64_t below)
{
	c->random ^= c->random << 13;
	c->random ^= c->random >> 7;
	c->random ^= c->random << 17;
	return (c->random * UINT64_C(0x2545f4914f6cdd1d) >> 11) % below;
}

static void hang_up(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static int dial(const char *address, uint16_t port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons(port)};
	struct timeval limit = {CONNECT_MS / 1000, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, address, &to.sin_addr);
	/* Bounds connect(), too. */
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

struct answer {
	struct strbuf bytes;
	struct rsp rsp;
	struct strbuf body;
	/* The head and the whole body were received. */
	bool whole;
	/* Bytes that follow it. */
	size_t extra;
};

static void answer_init(struct answer *a)
{
	memset(a, 0, sizeof(*a));
	strbuf_init(&a->bytes);
	strbuf_init(&a->body);
}

static void answer_free(struct answer *a)
{
	strbuf_free(&a->bytes);
	strbuf_free(&a->body);
}

/* Decodes what is there; returns NULL or why it is no answer. */
static const char *decode(struct answer *a)
{
	struct str in = strbuf_view(&a->bytes);
	size_t head = hreq_head_len(in);
	struct hbod body;
	const char *fault;

	if (!head)
		return NULL;
	fault = rsp_parse(&a->rsp, (struct str){in.ptr, head}, false);
	if (fault)
		return fault;
	in = str_skip(in, head);
	strbuf_reset(&a->body);
	hbod_init(&body,
		  &(struct hreq){.chunked = a->rsp.chunked,
				 .has_length = a->rsp.length >= 0,
				 .length = a->rsp.length > 0
						   ? (uint64_t)a->rsp.length
						   : 0});
	while (in.len && body.state != HBOD_DONE &&
	       body.state != HBOD_MALFORMED) {
		struct str data = STR_NONE;
		size_t used = hbod_decode(&body, in, &data);

		strbuf_add(&a->body, data);
		in = str_skip(in, used);
	}
	a->whole = body.state == HBOD_DONE;
	a->extra = a->whole ? in.len : 0;
	return body.state == HBOD_MALFORMED ? "malformed chunks" : NULL;
}

/* Reads an answer until it is whole, the connection ends or time is up. */
static void receive(int fd, int64_t until_ns, const char *id, struct answer *a)
{
	while (!a->whole) {
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
		strbuf_add(&a->bytes, (struct str){bytes, (size_t)n});
		fault = decode(a);
		if (fault) {
			report(id, "answer that is none: %s", fault);
			return;
		}
	}
}

/* Addresses in an answer of the directory port: quoted, with a port. */
static void take_addresses(struct caller *c, struct str body)
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

static void ask_addresses(struct caller *c)
{
	const char *vm = soak.vms[draw(c, soak.vm_count)];
	int fd = dial(vm, (uint16_t)(soak.port + 2));
	struct answer a;

	if (fd < 0)
		return;
	answer_init(&a);
	if (send_all(fd, STR("GET /resolve?name=h.example&region=ra&zone=z0 "
			     "HTTP/1.1\r\nHost: d\r\n\r\n")))
		receive(fd, tmr_now() + NS_PER_S, "addresses", &a);
	if (a.whole && a.rsp.status == 200) {
		take_addresses(c, strbuf_view(&a.body));
		c->asked_ns = tmr_now();
	}
	answer_free(&a);
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

static bool connect_caller(struct caller *c)
{
	if (tmr_now() - c->asked_ns > ADDRESS_NS)
		ask_addresses(c);
	if (c->fd >= 0 && is_listed(c))
		return true;
	hang_up(c);
	if (!c->address_count)
		return false;
	str_copy(c->vm, sizeof(c->vm),
		 str_from(c->addresses[draw(c, c->address_count)]));
	c->fd = dial(c->vm, soak.port);
	return c->fd >= 0;
}

static void write_body(const struct record *r, struct strbuf *out)
{
	size_t len = r->kind == KIND_UPLOAD ? UPLOAD_BYTES : BOOKING_BYTES;

	strbuf_reset(out);
	while (r->kind != KIND_SAFE && out->len < len)
		strbuf_addf(out, "%s ", r->id);
}

static enum outcome judge(const struct record *r, const struct answer *a,
			  struct str body)
{
	struct str own = strbuf_view(&a->body);

	if (!a->whole)
		return OUT_UNKNOWN;
	if (a->extra)
		report(r->id, "%zu bytes after the answer", a->extra);
	if (a->rsp.status == 404 || a->rsp.status == 400)
		report(r->id, "status %d for a proper request", a->rsp.status);
	if (a->rsp.status == 503 || a->rsp.status == 429 ||
	    a->rsp.status == 408 || a->rsp.status == 421)
		return OUT_NOT_RUN;
	if (a->rsp.status / 100 != 2)
		return OUT_UNKNOWN;
	if (!str_eq(rsp_get(&a->rsp, STR("request-id")), str_from(r->id)))
		report(r->id, "answer of another request");
	if (!rsp_get(&a->rsp, STR("response-signature")).len)
		report(r->id, "success without proof");
	if (!str_eq(own, body.len ? body : STR("ok")))
		report(r->id, "body of %zu bytes is not its own", own.len);
	return OUT_SERVED;
}

static void ask(struct caller *c, struct record *r)
{
	struct strbuf head, body;
	struct answer a;
	bool keep;

	strbuf_init(&head);
	strbuf_init(&body);
	answer_init(&a);
	write_body(r, &body);
	strbuf_addf(&head,
		    "%s /%s/x HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    r->kind == KIND_SAFE ? "GET" : "POST", kind_names[r->kind],
		    r->id, DEADLINE_MS, body.len);
	if (send_all(c->fd, strbuf_view(&head)) &&
	    send_all(c->fd, strbuf_view(&body)))
		receive(c->fd, tmr_now() + ANSWER_MS * NS_PER_MS, r->id, &a);
	r->outcome = judge(r, &a, strbuf_view(&body));
	keep = a.whole && a.rsp.keep_alive && !a.extra;
	if (!keep)
		hang_up(c);
	answer_free(&a);
	strbuf_free(&body);
	strbuf_free(&head);
}

static void *run_caller(void *arg)
{
	struct caller *c = arg;

	while (tmr_now() < soak.end_ns) {
		struct record r = {.runs = 0};
		void *row;

		usleep((useconds_t)draw(c, MAX_PAUSE_US));
		if (!connect_caller(c))
			continue;
		snprintf(r.id, sizeof(r.id), "s%llu-%d-%llu",
			 (unsigned long long)soak.seed, c->number,
			 (unsigned long long)c->sent++);
		r.kind = (enum kind)draw(c, KINDS);
		r.quiet = tmr_now() > soak.quiet_ns;
		ask(c, &r);
		tab_add(&c->records, &row);
		*(struct record *)row = r;
	}
	hang_up(c);
	return NULL;
}

static void count_runs(struct idx *by_id, struct tab *all, const char *path)
{
	char line[256];
	FILE *f = fopen(path, "r");

	if (!f) {
		report(path, "no record of runs");
		return;
	}
	while (fgets(line, sizeof(line), f)) {
		struct str id = str_trim(str_from(line));
		struct record *r = tab_get(all, idx_get(by_id, str_hash(id)));

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
		report(soak.runs_dir, "cannot be read");
		return;
	}
	while ((entry = readdir(dir))) {
		char path[512];

		if (entry->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s", soak.runs_dir,
			 entry->d_name);
		count_runs(by_id, all, path);
	}
	closedir(dir);
}

static void judge_runs(const struct record *r)
{
	if (r->kind != KIND_SAFE && r->runs > 1)
		report(r->id, "%s ran %u times", kind_names[r->kind], r->runs);
	if (r->kind != KIND_SAFE && r->outcome == OUT_NOT_RUN && r->runs)
		report(r->id, "told as not run, and ran");
	if (r->outcome == OUT_SERVED && !r->runs)
		report(r->id, "served without a run");
}

static void judge_all(struct caller *callers)
{
	uint32_t total[OUT_OUTCOMES] = {0}, quiet = 0, quiet_lost = 0;
	struct idx by_id;
	struct tab all;
	uint32_t i, k;

	idx_init(&by_id);
	tab_init(&all, sizeof(struct record));
	for (k = 0; k < CALLERS; k++)
		for (i = 0; i < callers[k].records.len; i++) {
			const struct record *r = tab_at(&callers[k].records, i);
			struct hnd h;
			void *row;

			h = tab_add(&all, &row);
			*(struct record *)row = *r;
			idx_put(&by_id, str_hash(str_from(r->id)), h);
		}
	read_runs(&by_id, &all);
	for (i = 0; i < all.len; i++) {
		const struct record *r = tab_at(&all, i);

		judge_runs(r);
		total[r->outcome]++;
		quiet += r->quiet;
		quiet_lost += r->quiet && r->outcome != OUT_SERVED;
	}
	if (!quiet || quiet_lost > quiet / QUIET_SHARE)
		report("quiet time", "%u of %u requests were not served",
		       quiet_lost, quiet);
	for (i = 0; i < OUT_OUTCOMES; i++)
		printf("%s %u, ", outcome_names[i], total[i]);
	printf("quiet %u, lost then %u, broken promises %u\n", quiet,
	       quiet_lost, soak.bad);
	idx_free(&by_id);
	tab_free(&all);
}

static int usage(void)
{
	fprintf(stderr, "usage: soak -s SEED -t SECONDS -q QUIET -r RUNS-DIR "
			"-p PORT VM-ADDRESS...\n");
	return 2;
}

static bool parse(int argc, char **argv)
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
	soak.quiet_ns = soak.end_ns - (int64_t)quiet * NS_PER_S;
	return seconds && soak.runs_dir && soak.port && soak.vm_count;
}

int main(int argc, char **argv)
{
	static struct caller callers[CALLERS];
	pthread_t threads[CALLERS];
	int i;

	if (!parse(argc, argv))
		return usage();
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->number = i;
		c->random = soak.seed * 64 + (uint64_t)i + 1;
		c->fd = -1;
		c->asked_ns = -ADDRESS_NS;
		tab_init(&c->records, sizeof(struct record));
		if (pthread_create(&threads[i], NULL, run_caller, c)) {
			fprintf(stderr, "soak: cannot start caller %d\n", i);
			return 1;
		}
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	/* What was sent before its deadline may still run until then. */
	sleep(DEADLINE_MS / 1000 + 1);
	judge_all(callers);
	for (i = 0; i < CALLERS; i++)
		tab_free(&callers[i].records);
	return soak.bad ? 1 : 0;
}
