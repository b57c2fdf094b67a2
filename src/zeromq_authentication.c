#include "zeromq_authentication.h"

#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "counted_string.h"

#define ENDPOINT "inproc://zeromq.zap.01"
#define PROTOCOL STR("1.0")
#define MAX_FRAMES 8
#define MAX_FRAME_BYTES 256

/* Frames of a request, in order. */
enum {
	FRAME_VERSION,
	FRAME_ID,
	FRAME_DOMAIN,
	FRAME_ADDRESS,
	FRAME_IDENTITY,
	FRAME_MECHANISM,
	FRAME_KEY,
	FRAME_COUNT,
};

struct frame {
	char bytes[MAX_FRAME_BYTES];
	size_t len;
};

struct zap {
	void *sock;
	pthread_t thread;
	uint8_t accepted[ZAP_KEY_BYTES];
	atomic_uint_fast64_t rejected;
	struct frame frames[MAX_FRAMES];
	size_t count;
};

static struct str frame(const struct zap *z, size_t i)
{
	struct str s = {z->frames[i].bytes, z->frames[i].len};

	return s;
}

/* Reads one request; false if the context is shut down. */
static bool receive(struct zap *z)
{
	int more = 1;
	size_t size = sizeof(more);

	z->count = 0;
	while (more) {
		struct frame extra;
		struct frame *f = z->count < MAX_FRAMES ? &z->frames[z->count]
							: &extra;
		int n = zmq_recv(z->sock, f->bytes, MAX_FRAME_BYTES, 0);

		if (n < 0) {
			if (zmq_errno() == EINTR)
				continue;
			return false;
		}
		/* A truncated frame is treated as empty and cannot match. */
		f->len = n > MAX_FRAME_BYTES ? 0 : (size_t)n;
		z->count++;
		if (zmq_getsockopt(z->sock, ZMQ_RCVMORE, &more, &size))
			return false;
	}
	return true;
}

static bool accepts(const struct zap *z)
{
	return z->count == FRAME_COUNT &&
	       str_eq(frame(z, FRAME_VERSION), PROTOCOL) &&
	       str_eq(frame(z, FRAME_MECHANISM), STR("CURVE")) &&
	       z->frames[FRAME_KEY].len == ZAP_KEY_BYTES &&
	       !sodium_memcmp(z->frames[FRAME_KEY].bytes, z->accepted,
			      ZAP_KEY_BYTES);
}

static void send_reply(struct zap *z, bool ok)
{
	const struct str parts[] = {
		PROTOCOL,
		frame(z, FRAME_ID),
		ok ? STR("200") : STR("400"),
		ok ? STR("OK") : STR("key not accepted"),
		STR(""),
		STR(""),
	};
	size_t last = sizeof(parts) / sizeof(parts[0]) - 1;
	size_t i;

	for (i = 0; i <= last; i++)
		zmq_send(z->sock, parts[i].ptr, parts[i].len,
			 i < last ? ZMQ_SNDMORE : 0);
}

static void *run(void *ctx)
{
	struct zap *z = ctx;

	while (receive(z)) {
		bool ok = accepts(z);

		if (!ok)
			atomic_fetch_add(&z->rejected, 1);
		send_reply(z, ok);
	}
	zmq_close(z->sock);
	return NULL;
}

enum err zap_start(struct zap **out, void *zmq_ctx,
		   const uint8_t accepted[ZAP_KEY_BYTES])
{
	struct zap *z = calloc(1, sizeof(*z));
	int linger = 0;

	if (!z)
		return ERR_NOMEM;
	memcpy(z->accepted, accepted, ZAP_KEY_BYTES);
	z->sock = zmq_socket(zmq_ctx, ZMQ_REP);
	if (!z->sock)
		goto fail;
	if (zmq_setsockopt(z->sock, ZMQ_LINGER, &linger, sizeof(linger)) ||
	    zmq_bind(z->sock, ENDPOINT) ||
	    pthread_create(&z->thread, NULL, run, z))
		goto fail;
	*out = z;
	return ERR_OK;
fail:
	if (z->sock)
		zmq_close(z->sock);
	free(z);
	return ERR_IO;
}

void zap_stop(struct zap *z)
{
	pthread_join(z->thread, NULL);
	free(z);
}

uint64_t zap_rejected(const struct zap *z)
{
	return atomic_load(&((struct zap *)z)->rejected);
}
