/*
 * Benchmark of an entry VM: growth of its memory while large bodies are
 * streamed and the latency that it adds. Prints lines "figure NAME VALUE UNIT".
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/tcp.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#include "entry_fixture.h"

#define PORT 23200
#define PIECE_BYTES 65536
/* Limit for the growth of the process; the buffers of a stream are 160 KiB. */
#define MAX_GROWTH_KIB 8192

static struct fixture fixture;

static int64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

/* Content that depends on the index, to detect lost or reordered pieces. */
static void make_piece(char *piece, uint64_t index)
{
	uint64_t word = index * UINT64_C(0x9e3779b97f4a7c15);
	size_t i;

	for (i = 0; i < PIECE_BYTES; i += sizeof(word)) {
		word = word * UINT64_C(6364136223846793005) + 1;
		memcpy(piece + i, &word, sizeof(word));
	}
}

static int send_all(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		bytes += n;
		len -= (size_t)n;
	}
	return 0;
}

static uint64_t send_pieces(int fd, uint64_t count)
{
	XXH3_state_t *hash = XXH3_createState();
	static _Thread_local char piece[PIECE_BYTES];
	uint64_t i, digest;

	XXH3_64bits_reset(hash);
	for (i = 0; i < count; i++) {
		make_piece(piece, i);
		XXH3_64bits_update(hash, piece, PIECE_BYTES);
		if (send_all(fd, piece, PIECE_BYTES))
			break;
	}
	digest = XXH3_64bits_digest(hash);
	XXH3_freeState(hash);
	return digest;
}

/*
 * Reads a head into buf, perhaps with bytes after it. Returns its length or 0.
 */
static size_t read_head(int fd, char *buf, size_t size, size_t *len)
{
	char *end;

	buf[*len] = '\0';
	while (!(end = strstr(buf, "\r\n\r\n"))) {
		ssize_t n = recv(fd, buf + *len, size - 1 - *len, 0);

		if (n <= 0)
			return 0;
		*len += (size_t)n;
		buf[*len] = '\0';
	}
	return (size_t)(end - buf) + 4;
}

static uint64_t hash_body(int fd, const char *ahead, size_t len, uint64_t size)
{
	XXH3_state_t *hash = XXH3_createState();
	static _Thread_local char buf[PIECE_BYTES];
	uint64_t digest;

	XXH3_64bits_reset(hash);
	XXH3_64bits_update(hash, ahead, len);
	size -= len;
	while (size) {
		ssize_t n = recv(fd, buf,
				 size < PIECE_BYTES ? size : PIECE_BYTES, 0);

		if (n <= 0)
			break;
		XXH3_64bits_update(hash, buf, (size_t)n);
		size -= (uint64_t)n;
	}
	digest = size ? 0 : XXH3_64bits_digest(hash);
	XXH3_freeState(hash);
	return digest;
}

/* GET /N is answered with N pieces, POST with the digest of its body. */
static void serve(int fd)
{
	char buf[16384], out[256];
	size_t len = 0, head;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	while ((head = read_head(fd, buf, sizeof(buf), &len)) > 0) {
		char *length = strcasestr(buf, "content-length: ");
		uint64_t size = length ? strtoull(length + 16, NULL, 10) : 0;
		uint64_t pieces = strtoull(buf + 5, NULL, 10);

		if (size) {
			snprintf(out, sizeof(out),
				 "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"
				 "%016llx",
				 (unsigned long long)hash_body(
					 fd, buf + head, len - head, size));
		} else {
			snprintf(out, sizeof(out),
				 "HTTP/1.1 200 OK\r\nContent-Length: "
				 "%llu\r\n\r\n",
				 (unsigned long long)pieces * PIECE_BYTES);
		}
		len = 0;
		if (send_all(fd, out, strlen(out)))
			return;
		if (!size)
			send_pieces(fd, pieces);
	}
}

static int upload(uint64_t pieces)
{
	char buf[16384];
	int fd = fixture_connect(&fixture);
	uint64_t digest;
	size_t len = 0, head;

	snprintf(buf, sizeof(buf),
		 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %llu\r\n\r\n",
		 (unsigned long long)pieces * PIECE_BYTES);
	if (send_all(fd, buf, strlen(buf)))
		return 1;
	digest = send_pieces(fd, pieces);
	head = read_head(fd, buf, sizeof(buf), &len);
	while (head && len < head + 16) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - len, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
	}
	close(fd);
	return !head || strtoull(buf + head, NULL, 16) != digest;
}

static int download(uint64_t pieces)
{
	char buf[16384];
	int fd = fixture_connect(&fixture);
	XXH3_state_t *hash = XXH3_createState();
	static char piece[PIECE_BYTES];
	size_t len = 0, head;
	uint64_t i, got;

	snprintf(buf, sizeof(buf), "GET /%llu HTTP/1.1\r\nHost: a\r\n\r\n",
		 (unsigned long long)pieces);
	if (send_all(fd, buf, strlen(buf)))
		return 1;
	head = read_head(fd, buf, sizeof(buf), &len);
	got = hash_body(fd, buf + head, len - head, pieces * PIECE_BYTES);
	close(fd);
	XXH3_64bits_reset(hash);
	for (i = 0; i < pieces; i++) {
		make_piece(piece, i);
		XXH3_64bits_update(hash, piece, PIECE_BYTES);
	}
	i = XXH3_64bits_digest(hash);
	XXH3_freeState(hash);
	return !head || got != i;
}

static int measure_stream(uint64_t mib)
{
	uint64_t pieces = mib * 1024 * 1024 / PIECE_BYTES;
	long before, after;
	int failed = upload(1) || download(1);

	before = fixture_status_kib(&fixture, "VmHWM:");
	failed = failed || upload(pieces) || download(pieces);
	after = fixture_status_kib(&fixture, "VmHWM:");
	printf("figure stream_size_mib %llu MiB\n", (unsigned long long)mib);
	printf("figure stream_memory_growth_kib %ld KiB\n", after - before);
	if (failed)
		fprintf(stderr, "a body was truncated or corrupted\n");
	return failed || after - before > MAX_GROWTH_KIB;
}

/* Requests per second of all clients together. */
#define RATE 500
#define SECONDS 10
#define CLIENTS 10

struct client {
	pthread_t thread;
	bool direct;
	int index;
	int64_t start_ns;
	int failed;
	int64_t latency_ns[RATE * SECONDS / CLIENTS];
};

static int connect_backend(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons(fixture.backend_port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, fixture.backend_host, &a.sin_addr);
	return connect(fd, (struct sockaddr *)&a, sizeof(a)) ? -1 : fd;
}

/*
 * Sends at fixed times and measures latency from the due time, which
 * avoids coordinated omission.
 */
static void *run_client(void *arg)
{
	static const char request[] = "GET /0 HTTP/1.1\r\nHost: a\r\n\r\n";
	struct client *c = arg;
	int fd = c->direct ? connect_backend() : fixture_connect(&fixture);
	int64_t step = INT64_C(1000000000) * CLIENTS / RATE;
	char buf[4096];
	int one = 1, i;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	for (i = 0; i < RATE * SECONDS / CLIENTS; i++) {
		int64_t due =
			c->start_ns + step * i + step * c->index / CLIENTS;
		struct timespec ts = {due / 1000000000, due % 1000000000};
		size_t len = 0;

		clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &ts, NULL);
		if (send_all(fd, request, sizeof(request) - 1) ||
		    !read_head(fd, buf, sizeof(buf), &len) ||
		    strncmp(buf, "HTTP/1.1 200", 12))
			c->failed++;
		c->latency_ns[i] = now_ns() - due;
	}
	close(fd);
	return NULL;
}

static int compare(const void *x, const void *y)
{
	int64_t a = *(const int64_t *)x, b = *(const int64_t *)y;

	return (a > b) - (a < b);
}

static int measure_requests(bool direct, int64_t *p50, int64_t *p99)
{
	static struct client clients[CLIENTS];
	static int64_t all[RATE * SECONDS];
	size_t per_client = RATE * SECONDS / CLIENTS;
	int64_t start = now_ns() + 100000000;
	int i, failed = 0;

	for (i = 0; i < CLIENTS; i++) {
		clients[i].direct = direct;
		clients[i].index = i;
		clients[i].failed = 0;
		clients[i].start_ns = start;
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	}
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		memcpy(all + (size_t)i * per_client, clients[i].latency_ns,
		       sizeof(clients[i].latency_ns));
		failed += clients[i].failed;
	}
	qsort(all, RATE * SECONDS, sizeof(all[0]), compare);
	*p50 = all[RATE * SECONDS / 2];
	*p99 = all[RATE * SECONDS * 99 / 100];
	return failed;
}

static int measure_latency(void)
{
	int64_t direct50, direct99, vm50, vm99;
	int failed = measure_requests(true, &direct50, &direct99);

	failed += measure_requests(false, &vm50, &vm99);
	printf("figure direct_latency_p50_ms %.3f ms\n", direct50 / 1e6);
	printf("figure direct_latency_p99_ms %.3f ms\n", direct99 / 1e6);
	printf("figure added_latency_p50_ms %.3f ms\n",
	       (vm50 - direct50) / 1e6);
	printf("figure added_latency_p99_ms %.3f ms\n",
	       (vm99 - direct99) / 1e6);
	printf("figure latency_failed_requests %d requests\n", failed);
	return failed != 0;
}

int main(int argc, char **argv)
{
	int code = 2;

	if (argc < 2) {
		fprintf(stderr, "usage: bench_frontend stream MIB | latency\n");
		return code;
	}
	fixture.serve = serve;
	if (fixture_start(&fixture, PORT, 10000, 0))
		fprintf(stderr, "entry VM failed to start\n");
	else if (!strcmp(argv[1], "latency"))
		code = measure_latency();
	else
		code = measure_stream(argc > 2 ? strtoull(argv[2], NULL, 10)
					       : 64);
	fixture_stop(&fixture);
	return code;
}
