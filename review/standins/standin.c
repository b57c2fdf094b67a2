#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_PROCESSES 32
#define FIRST_PORT 21000
#define PORT_RANGE 9000
#define PORTS 6
#define EARLY_WINDOW_BYTES 65536

int st_port;

static FILE *record;
static char folder[] = "/tmp/review-XXXXXX";
static int net;
static double start;
static pid_t processes[MAX_PROCESSES];
static int process_count;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double clock_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

double st_now(void)
{
	return clock_s() - start;
}

void st_sleep_until(double at)
{
	double left = at - st_now();

	if (left > 0)
		usleep((useconds_t)(left * 1e6));
}

bool st_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0") != 0;
}

static void write_line(FILE *f, const char *fmt, va_list ap)
{
	fprintf(f, "%8.3f ", st_now());
	vfprintf(f, fmt, ap);
	fputc('\n', f);
}

void st_note(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	pthread_mutex_lock(&record_lock);
	write_line(record, fmt, ap);
	pthread_mutex_unlock(&record_lock);
	va_end(ap);
}

void st_say(const char *fmt, ...)
{
	va_list ap, copy;

	va_start(ap, fmt);
	va_copy(copy, ap);
	pthread_mutex_lock(&record_lock);
	write_line(record, fmt, ap);
	write_line(stdout, fmt, copy);
	fflush(stdout);
	pthread_mutex_unlock(&record_lock);
	va_end(copy);
	va_end(ap);
}

void st_exit(int status, const char *verdict)
{
	int i;

	for (i = 0; i < process_count; i++)
		if (processes[i])
			kill(processes[i], SIGKILL);
	for (i = 0; i < process_count; i++)
		if (processes[i])
			waitpid(processes[i], NULL, 0);
	st_say("%s", verdict);
	fflush(record);
	_exit(status);
}

static void on_signal(int number)
{
	int i;

	(void)number;
	for (i = 0; i < process_count; i++)
		if (processes[i])
			kill(processes[i], SIGKILL);
	_exit(2);
}

const char *st_ip(int group, int n)
{
	static _Thread_local char text[4][32];
	static _Thread_local int next;
	char *out = text[next++ % 4];

	snprintf(out, sizeof(text[0]), "127.%d.%d.%d", net, group, n);
	return out;
}

static int listen_on(const char *ip, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (void *)&a, sizeof(a)) && !listen(fd, 1024))
		return fd;
	close(fd);
	return -1;
}

/* A port that is free on the wildcard address is free on all others. */
static bool is_free(int port)
{
	int fd = listen_on("0.0.0.0", port);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static void pick_ports(void)
{
	int tries, i;

	srand((unsigned)getpid());
	for (tries = 0; tries < 200; tries++) {
		st_port = FIRST_PORT + rand() % PORT_RANGE;
		for (i = 0; i < PORTS && is_free(st_port + i); i++)
			;
		if (i == PORTS)
			return;
	}
	st_exit(2, "no free ports");
}

void st_init(const char *case_folder, int second_number)
{
	char name[512];

	net = second_number;
	start = clock_s();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	/* The bound of a script. */
	alarm(115);
	snprintf(name, sizeof(name), "%s/record.txt", case_folder);
	/* Child processes and other drivers of the case write to it as well. */
	record = fopen(name, "a");
	if (record)
		setvbuf(record, NULL, _IOLBF, 4096);
	if (!record || !mkdtemp(folder)) {
		perror(name);
		_exit(2);
	}
	pick_ports();
	st_say("trouble: %s", st_trouble() ? "yes" : "no");
}

static pid_t spawn(const char *log, char *const argv[])
{
	char name[128];
	pid_t pid;
	int fd;

	snprintf(name, sizeof(name), "%s/%s.log", folder, log);
	pid = fork();
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(name, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		signal(SIGPIPE, SIG_DFL);
		alarm(0);
		execv(argv[0], argv);
		_exit(127);
	}
	if (pid < 0 || process_count == MAX_PROCESSES)
		st_exit(2, "cannot start a process");
	processes[process_count++] = pid;
	st_note("started %s, process %d, log %s", log, (int)pid, name);
	return pid;
}

double st_wait_end(pid_t pid)
{
	int i, status = 0;

	waitpid(pid, &status, 0);
	for (i = 0; i < process_count; i++)
		if (processes[i] == pid)
			processes[i] = 0;
	st_say("process %d ended, status %d", (int)pid, status);
	return st_now();
}

int st_dial(struct st_conn *c, const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port)};
	struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	int one = 1;

	memset(c, 0, sizeof(*c));
	inet_pton(AF_INET, ip, &a.sin_addr);
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (!connect(c->fd, (void *)&a, sizeof(a)))
		return 0;
	st_close(c);
	return -1;
}

void st_close(struct st_conn *c)
{
	if (c->fd >= 0)
		close(c->fd);
	free(c->buf);
	c->buf = NULL;
	c->len = c->cap = 0;
	c->fd = -1;
}

bool st_send(struct st_conn *c, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(c->fd, bytes, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

bool st_send_request(struct st_conn *c, const char *method, const char *path,
		     const char *id, int deadline_ms, size_t body_len)
{
	size_t size = body_len + 512;
	char *text = malloc(size);
	int n = snprintf(text, size,
			 "%s %s HTTP/1.1\r\nHost: h.example\r\n"
			 "Request-Id: %s\r\nDeadline-Ms: %d\r\n",
			 method, path, id, deadline_ms);
	bool ok;

	if (body_len)
		n += snprintf(text + n, size - (size_t)n,
			      "Content-Length: %zu\r\n", body_len);
	n += snprintf(text + n, size - (size_t)n, "\r\n");
	memset(text + n, 'b', body_len);
	ok = st_send(c, text, (size_t)n + body_len);
	free(text);
	return ok;
}

static bool fill(struct st_conn *c)
{
	ssize_t n;

	if (c->len + 65536 > c->cap) {
		c->cap = c->len + 131072;
		c->buf = realloc(c->buf, c->cap);
	}
	errno = 0;
	do
		n = recv(c->fd, c->buf + c->len, 65536, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	c->len += (size_t)n;
	return true;
}

static void drop(struct st_conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n);
	c->len -= n;
}

static const char *field(const struct st_head *h, const char *name)
{
	const char *line = strstr(h->text, "\r\n");
	size_t len = strlen(name);

	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':')
			return line + len + 1 + strspn(line + len + 1, " ");
	}
	return NULL;
}

bool st_read_head(struct st_conn *c, struct st_head *h)
{
	const char *v;
	char *end;

	for (;;) {
		end = c->len ? memmem(c->buf, c->len, "\r\n\r\n", 4) : NULL;
		if (end)
			break;
		if (c->len >= ST_MAX_HEAD || !fill(c))
			return false;
	}
	memset(h, 0, sizeof(*h));
	if ((size_t)(end - c->buf) + 4 >= sizeof(h->text))
		return false;
	memcpy(h->text, c->buf, (size_t)(end - c->buf) + 4);
	drop(c, (size_t)(end - c->buf) + 4);
	if (!strncmp(h->text, "HTTP/1.1 ", 9))
		h->status = atoi(h->text + 9);
	else
		sscanf(h->text, "%*s %255s", h->path);
	v = field(h, "Request-Id");
	if (v)
		sscanf(v, "%63[^\r]", h->id);
	v = field(h, "Content-Length");
	h->length = v ? atol(v) : 0;
	return true;
}

bool st_skip_body(struct st_conn *c, long length)
{
	while (length > 0) {
		size_t n;

		if (!c->len && !fill(c))
			return false;
		n = c->len < (size_t)length ? c->len : (size_t)length;
		drop(c, n);
		length -= (long)n;
	}
	return true;
}

int st_read_response(struct st_conn *c)
{
	struct st_head h;

	if (!st_read_head(c, &h) || !st_skip_body(c, h.length))
		return 0;
	return h.status;
}

/* Sends a request to an address of the platform's kind; returns the body, or
 * NULL. */
static char *call(const char *ip, int port, const char *method,
		  const char *path, const char *body)
{
	size_t size = strlen(body) + 512;
	char *text = malloc(size), *out = NULL;
	struct st_conn c;
	struct st_head h;

	snprintf(text, size,
		 "%s %s HTTP/1.1\r\nHost: p\r\nX-Operator: 1\r\n"
		 "Content-Type: application/json\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 method, path, strlen(body), body);
	if (st_dial(&c, ip, port, 3000)) {
		free(text);
		return NULL;
	}
	if (st_send(&c, text, strlen(text)) && st_read_head(&c, &h) &&
	    h.status == 200) {
		while (c.len < (size_t)h.length && fill(&c))
			;
		out = calloc(1, c.len + 1);
		if (c.len)
			memcpy(out, c.buf, c.len);
	}
	st_close(&c);
	free(text);
	return out;
}

void st_start_store(void)
{
	char address[64];
	char *argv[] = {"build/rowsd", address, NULL};
	int i;

	snprintf(address, sizeof(address), "%s:%d", st_ip(ST_STORE, 1),
		 st_port);
	spawn("store", argv);
	for (i = 0; i < 100; i++) {
		char *answer = call(st_ip(ST_STORE, 1), st_port, "GET",
				    "/stats", "");

		free(answer);
		if (answer)
			return;
		usleep(50000);
	}
	st_exit(2, "the store does not start");
}

static void base64(const char *in, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(in), i;

	for (i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)in[i] << 16;

		v |= i + 1 < len ? (unsigned)(unsigned char)in[i + 1] << 8 : 0;
		v |= i + 2 < len ? (unsigned)(unsigned char)in[i + 2] : 0;
		*out++ = digits[v >> 18];
		*out++ = digits[v >> 12 & 63];
		*out++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[v & 63] : '=';
	}
	*out = '\0';
}

static void transact(const char *body)
{
	char *answer = call(st_ip(ST_STORE, 1), st_port, "POST", "/rows-tx",
			    body);

	if (!answer)
		st_exit(2, "the store refused a transaction");
	free(answer);
}

void st_put_row(const char *table, const char *key, const char *value)
{
	size_t size = strlen(value) * 2 + 512;
	char *text = malloc(size), *encoded = malloc(size);

	base64(value, encoded);
	snprintf(text, size,
		 "{\"puts\":[{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
		 "\"value\":\"%s\"}]}",
		 table, key, encoded);
	transact(text);
	free(text);
	free(encoded);
}

void st_remove_row(const char *table, const char *key)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "{\"remove\":[{\"table\":\"%s\",\"part\":\"\","
		 "\"key\":\"%s\"}]}",
		 table, key);
	transact(text);
}

void st_put_config(int version, const struct st_route *routes, size_t count)
{
	char *text = malloc(65536);
	size_t n, i, k;

	n = (size_t)sprintf(
		text,
		"{\"version\":\"r%d\",\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":8388608,"
		"\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
		"\"listeners\":[{\"host\":\"h.example\",\"rules\":[",
		version);
	for (i = 0; i < count; i++)
		n += (size_t)sprintf(
			text + n,
			"%s{\"name\":\"%s\",\"kind\":\"%s\",\"slo\":\"%s\","
			"\"priority\":%d,\"match\":{\"prefix\":\"/%s/\"},"
			"\"action\":{\"service\":\"%s\",\"timeout\":\"%s\","
			"\"attempts\":%d}}",
			i ? "," : "", routes[i].name, routes[i].kind,
			routes[i].objective, routes[i].priority,
			routes[i].name, routes[i].service, routes[i].timeout,
			routes[i].attempts);
	n += (size_t)sprintf(text + n, "]}],\"clusters\":[");
	for (i = 0; i < count; i++) {
		for (k = 0; k < i; k++)
			if (!strcmp(routes[k].service, routes[i].service))
				break;
		if (k == i)
			n += (size_t)sprintf(
				text + n,
				"%s{\"name\":\"%s\",\"health_path\":"
				"\"/healthz\",\"max_conns\":390,"
				"\"protocol\":\"h1\",\"tls\":false}",
				i ? "," : "", routes[i].service);
	}
	sprintf(text + n, "]}");
	st_put_row("op", "config", text);
	free(text);
}

void st_put_server(const char *id, int n, const char *service, int slots,
		   int seq)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"address\":\"%s:%d\",\"born\":1000,"
		 "\"info\":{\"service\":\"%s\",\"version\":\"v1\","
		 "\"zone\":\"z0\",\"slots\":%d},"
		 "\"status\":{\"state\":\"ready\",\"seq\":%d,"
		 "\"warmup_left\":\"0ms\"}}",
		 st_ip(ST_SERVER, n), st_port, service, slots, seq);
	st_put_row("servers", id, text);
}

pid_t st_start_edge(int n, bool through_proxy)
{
	char name[128], log[16];
	char *argv[] = {"target/currantpaddle", "edge", "--settings", name,
			NULL};
	FILE *f;

	snprintf(name, sizeof(name), "%s/edge-%d.json", folder, n);
	snprintf(log, sizeof(log), "edge-%d", n);
	f = fopen(name, "w");
	if (!f)
		st_exit(2, "cannot write the settings");
	fprintf(f,
		"{\"id\":\"edge-%d\",\"zone\":\"z0\",\"region\":\"ra\","
		"\"callers\":\"%s:%d\",\"ready\":\"%s:%d\",",
		n, st_ip(ST_EDGE, n), st_port, st_ip(ST_EDGE, n), st_port + 1);
	fprintf(f,
		"\"directory\":\"%s:%d\",\"control\":\"%s:%d\","
		"\"store\":\"%s:%d\",",
		st_ip(ST_EDGE, n), st_port + 2, st_ip(ST_EDGE, n), st_port + 3,
		through_proxy ? st_ip(ST_PROXY, n) : st_ip(ST_STORE, 1),
		st_port);
	fprintf(f,
		"\"seeds\":[\"%s:%d\",\"%s:%d\"],\"zones\":{\"z0\":\"ra\"},"
		"\"peer_port\":%d,\"link_mbps\":1000,"
		"\"peer_trust\":\"network\",\"drain\":\"2000ms\","
		"\"grace\":\"6s\",\"address_ttl\":\"5s\",",
		st_ip(ST_EDGE, 1), st_port + 3, st_ip(ST_EDGE, 2), st_port + 3,
		st_port + 4);
	fprintf(f, "\"retry_ratio\":0.2,\"retry_slack\":62,"
		   "\"retry_window\":\"10s\",\"floor\":0.5,"
		   "\"log_level\":\"info\"}\n");
	fclose(f);
	return spawn(log, argv);
}

void st_wait_ready(int n)
{
	int i;

	for (i = 0; i < 100; i++) {
		char *answer = call(st_ip(ST_EDGE, n), st_port + 1, "GET",
				    "/readyz", "");

		free(answer);
		if (answer)
			return;
		usleep(100000);
	}
	st_exit(2, "an edge VM does not become ready");
}

int st_rank(int n)
{
	char *answer = call(st_ip(ST_EDGE, n), st_port + 3, "GET", "/status",
			    "");
	char *at = answer ? strstr(answer, "\"rank\":") : NULL;
	int rank = at ? atoi(at + 7) : -1;

	free(answer);
	return rank;
}

pthread_t st_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 262144);
	if (pthread_create(&t, &attr, run, arg))
		st_exit(2, "cannot start a thread");
	pthread_attr_destroy(&attr);
	return t;
}

struct served {
	struct st_server *server;
	struct st_conn conn;
};

static void add_arrival(struct st_server *s, const char *id)
{
	struct st_arrival *a;

	pthread_mutex_lock(&s->lock);
	if (s->arrival_count == s->arrival_cap) {
		s->arrival_cap = s->arrival_cap ? s->arrival_cap * 2 : 256;
		s->arrivals = realloc(s->arrivals,
				      s->arrival_cap * sizeof(*a));
	}
	a = &s->arrivals[s->arrival_count++];
	a->at = st_now();
	snprintf(a->id, sizeof(a->id), "%.31s", id);
	pthread_mutex_unlock(&s->lock);
}

static void *serve(void *arg)
{
	struct served *v = arg;
	struct st_head h;

	while (st_read_head(&v->conn, &h)) {
		add_arrival(v->server, h.id);
		if ((!v->server->early &&
		     !st_skip_body(&v->conn, h.length)) ||
		    !v->server->answer(v->server, &v->conn, &h))
			break;
	}
	st_close(&v->conn);
	free(v);
	return NULL;
}

static void *accept_callers(void *arg)
{
	struct st_server *s = arg;

	for (;;) {
		int one = 1, fd = accept(s->listen_fd, NULL, NULL);
		struct served *v;

		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		v = calloc(1, sizeof(*v));
		v->server = s;
		v->conn.fd = fd;
		pthread_detach(st_thread(serve, v));
	}
}

void st_start_server(struct st_server *s)
{
	int window = EARLY_WINDOW_BYTES;

	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->freed, NULL);
	s->listen_fd = listen_on(st_ip(ST_SERVER, s->n), st_port);
	if (s->listen_fd < 0)
		st_exit(2, "a backend server cannot listen");
	/* Accepted connections inherit the small window. */
	if (s->early)
		setsockopt(s->listen_fd, SOL_SOCKET, SO_RCVBUF, &window,
			   sizeof(window));
	pthread_detach(st_thread(accept_callers, s));
}

pid_t st_fork_server(struct st_server *s)
{
	pid_t pid = fork();

	if (!pid) {
		process_count = 0;
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		st_start_server(s);
		for (;;)
			pause();
	}
	if (pid < 0 || process_count == MAX_PROCESSES)
		st_exit(2, "cannot start a backend server");
	processes[process_count++] = pid;
	st_note("started server %s, process %d", s->id, (int)pid);
	return pid;
}

void st_work(struct st_server *s, int ms)
{
	pthread_mutex_lock(&s->lock);
	while (s->busy >= s->slots)
		pthread_cond_wait(&s->freed, &s->lock);
	s->busy++;
	pthread_mutex_unlock(&s->lock);
	usleep((useconds_t)ms * 1000);
	pthread_mutex_lock(&s->lock);
	s->busy--;
	pthread_cond_signal(&s->freed);
	pthread_mutex_unlock(&s->lock);
}

bool st_answer(struct st_conn *c, const struct st_head *h, int status,
	       const char *fields)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n"
			 "Response-Signature: 1.2.3\r\n"
			 "Keep-Alive: timeout=10\r\n%s"
			 "Content-Length: 2\r\n\r\nok",
			 status, h->id, fields);

	return st_send(c, text, (size_t)n);
}

bool st_reached(struct st_server *s, const char *id)
{
	bool found = false;
	size_t i;

	pthread_mutex_lock(&s->lock);
	for (i = 0; i < s->arrival_count && !found; i++)
		found = !strcmp(s->arrivals[i].id, id);
	pthread_mutex_unlock(&s->lock);
	return found;
}

struct pump {
	struct st_proxy *proxy;
	int from;
	int to;
};

static void *forward(void *arg)
{
	struct pump *p = arg;
	char buf[65536];
	ssize_t n;

	while ((n = recv(p->from, buf, sizeof(buf), 0)) > 0) {
		struct st_conn to = {.fd = p->to};

		while (p->proxy->cut)
			usleep(5000);
		if (!st_send(&to, buf, (size_t)n))
			break;
	}
	while (p->proxy->cut)
		usleep(5000);
	shutdown(p->from, SHUT_RDWR);
	shutdown(p->to, SHUT_RDWR);
	free(p);
	return NULL;
}

static void start_pump(struct st_proxy *proxy, int from, int to)
{
	struct pump *p = calloc(1, sizeof(*p));

	*p = (struct pump){proxy, from, to};
	pthread_detach(st_thread(forward, p));
}

static void *accept_store_calls(void *arg)
{
	struct st_proxy *p = arg;

	for (;;) {
		struct st_conn store;
		int fd = accept(p->listen_fd, NULL, NULL);

		if (fd < 0)
			return NULL;
		if (st_dial(&store, st_ip(ST_STORE, 1), st_port, 0)) {
			close(fd);
			continue;
		}
		/* The sockets stay open until the process ends, as both
		 * threads use them. */
		start_pump(p, fd, store.fd);
		start_pump(p, store.fd, fd);
	}
}

void st_start_proxy(struct st_proxy *p)
{
	p->listen_fd = listen_on(st_ip(ST_PROXY, p->n), st_port);
	if (p->listen_fd < 0)
		st_exit(2, "the proxy cannot listen");
	pthread_detach(st_thread(accept_store_calls, p));
}
