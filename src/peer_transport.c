#include "peer_transport.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "hash_index.h"
#include "entity_table.h"
#include "timer.h"
#include "peer_codec.h"
#include "zeromq_authentication.h"

/* Messages queued for a new connection. */
#define PENDING_MAX 8
/*
 * A handshake takes a few round trips. A peer that needs longer than this is
 * down or unreachable, and the queued messages are dropped.
 */
#define PENDING_NS (500 * NS_PER_MS)
/* High-water mark of messages queued to a connected peer; more are dropped. */
#define SEND_QUEUE_MAX 64
/* Sockets that have not been used for this long are closed. */
#define IDLE_NS (60 * NS_PER_S)
#define IDLE_CHECK_NS (10 * NS_PER_S)
/* Below ZeroMQ's default limit of 1023 sockets for one context. */
#define MAX_SOCKETS 512
/* A bundle part and its head; all other messages are smaller. */
#define MAX_MESSAGE_BYTES (MSG_MAX_PART_BYTES + 4096)
/*
 * Retransmission timeout. A connection without acknowledgements is closed
 * after this time, so that few stale messages arrive after a network partition.
 */
#define TCP_MAX_RETRANSMIT_MS 5000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
/* For "tcp://", source, ":0;", host, ":" and port. */
#define ENDPOINT_BYTES 160

/* A PUSH socket; key is the hash of its endpoint. */
struct sock_row {
	uint64_t key;
	void *sock;
	int64_t used_ns;
	int64_t opened_ns;
	/* Messages sent before the connection was established. */
	struct strbuf pending[PENDING_MAX];
	uint32_t pending_count;
};

struct peer {
	void *ctx;
	void *pull;
	int fd;
	/* Binary CURVE keys; curve is false without keys in the settings. */
	bool curve;
	/*
	 * Source address of outgoing connections, that of the PULL socket: both
	 * ends of a network path have fixed addresses.
	 */
	struct strbuf source;
	uint8_t public[ZAP_KEY_BYTES];
	uint8_t secret[ZAP_KEY_BYTES];
	struct zap *zap;
	struct tab socks;
	struct idx sock_by_key;
	int64_t idle_check_ns;
	struct strbuf out;
	struct msg in;
	/* The last frame was followed by another one of the same message. */
	bool in_multipart;
	struct peer_stats stats;
	/* Some socket has pending messages. */
	bool has_pending;
};

static int set_int(void *sock, int option, int value)
{
	return zmq_setsockopt(sock, option, &value, sizeof(value));
}

static int set_key(void *sock, int option, const uint8_t *key)
{
	return zmq_setsockopt(sock, option, key, ZAP_KEY_BYTES);
}

static enum err read_key(uint8_t *out, struct str z85)
{
	char text[ZAP_KEY_Z85 + 1];

	if (z85.len != ZAP_KEY_Z85)
		return ERR_INVALID;
	str_copy(text, sizeof(text), z85);
	return zmq_z85_decode(out, text) ? ERR_OK : ERR_INVALID;
}

static enum err read_keys(struct peer *p, const struct sett *sett)
{
	enum err e;

	if (!sett->peer_public_key.len)
		return ERR_OK;
	if (!zmq_has("curve"))
		return ERR_REFUSED;
	p->curve = true;
	e = read_key(p->public, sett->peer_public_key);
	return e ? e : read_key(p->secret, sett->peer_secret_key);
}

static void format_endpoint(char *out, struct str host, int64_t port)
{
	struct strbuf sb;

	strbuf_init(&sb);
	strbuf_addf(&sb, "tcp://%.*s:%lld", STR_FMT(host), (long long)port);
	str_copy(out, ENDPOINT_BYTES, strbuf_view(&sb));
	strbuf_free(&sb);
}

static void format_connect_endpoint(const struct peer *p, char *out,
				    struct str host, uint16_t port)
{
	struct strbuf sb;

	strbuf_init(&sb);
	strbuf_addf(&sb, "tcp://%.*s:0;%.*s:%u",
		    STR_FMT(strbuf_view(&p->source)), STR_FMT(host), port);
	str_copy(out, ENDPOINT_BYTES, strbuf_view(&sb));
	strbuf_free(&sb);
}

static enum err secure_pull(struct peer *p)
{
	enum err e;

	if (!p->curve)
		return ERR_OK;
	e = zap_start(&p->zap, p->ctx, p->public);
	if (e)
		return e;
	if (set_int(p->pull, ZMQ_CURVE_SERVER, 1) ||
	    set_key(p->pull, ZMQ_CURVE_SECRETKEY, p->secret) ||
	    zmq_setsockopt(p->pull, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN,
			   strlen(ZAP_DOMAIN)))
		return ERR_IO;
	return ERR_OK;
}

static enum err open_pull(struct peer *p, const struct sett *sett)
{
	char endpoint[ENDPOINT_BYTES];
	size_t size = sizeof(p->fd);
	int64_t max = MAX_MESSAGE_BYTES;
	enum err e;

	p->pull = zmq_socket(p->ctx, ZMQ_PULL);
	if (!p->pull)
		return ERR_IO;
	e = secure_pull(p);
	if (e)
		return e;
	format_endpoint(endpoint, sett->peer.host, sett->peer.port);
	if (set_int(p->pull, ZMQ_LINGER, 0) ||
	    zmq_setsockopt(p->pull, ZMQ_MAXMSGSIZE, &max, sizeof(max)) ||
	    zmq_bind(p->pull, endpoint) ||
	    zmq_getsockopt(p->pull, ZMQ_FD, &p->fd, &size))
		return ERR_IO;
	return ERR_OK;
}

enum err peer_open(struct peer **out, const struct sett *sett)
{
	struct peer *p = calloc(1, sizeof(*p));
	enum err e;

	if (!p)
		return ERR_NOMEM;
	p->fd = -1;
	tab_init(&p->socks, sizeof(struct sock_row));
	idx_init(&p->sock_by_key);
	strbuf_init(&p->out);
	strbuf_init(&p->source);
	strbuf_add(&p->source, sett->peer.host);
	e = read_keys(p, sett);
	if (e)
		goto fail;
	e = ERR_IO;
	p->ctx = zmq_ctx_new();
	if (!p->ctx || zmq_ctx_set(p->ctx, ZMQ_IO_THREADS, 1))
		goto fail;
	e = open_pull(p, sett);
	if (e)
		goto fail;
	*out = p;
	return ERR_OK;
fail:
	peer_close(p);
	return e;
}

static void drop_pending(struct peer *p, struct sock_row *row)
{
	p->stats.dropped += row->pending_count;
	while (row->pending_count)
		strbuf_free(&row->pending[--row->pending_count]);
}

void peer_close(struct peer *p)
{
	uint32_t i;

	for (i = 0; i < p->socks.len; i++) {
		struct sock_row *row = tab_at(&p->socks, i);

		drop_pending(p, row);
		zmq_close(row->sock);
	}
	if (p->pull)
		zmq_close(p->pull);
	if (p->ctx)
		zmq_ctx_shutdown(p->ctx);
	if (p->zap)
		zap_stop(p->zap);
	if (p->ctx)
		zmq_ctx_term(p->ctx);
	tab_free(&p->socks);
	idx_free(&p->sock_by_key);
	strbuf_free(&p->out);
	strbuf_free(&p->source);
	free(p);
}

int peer_fd(const struct peer *p)
{
	return p->fd;
}

static void close_socket(struct peer *p, uint32_t i)
{
	struct sock_row *row = tab_at(&p->socks, i);

	drop_pending(p, row);
	zmq_close(row->sock);
	idx_del(&p->sock_by_key, row->key);
	tab_del(&p->socks, tab_handle(&p->socks, i));
}

static void close_idle(struct peer *p, int64_t now)
{
	uint32_t i;

	if (now < p->idle_check_ns)
		return;
	p->idle_check_ns = now + IDLE_CHECK_NS;
	for (i = p->socks.len; i-- > 0;) {
		const struct sock_row *row = tab_at(&p->socks, i);

		if (now - row->used_ns >= IDLE_NS)
			close_socket(p, i);
	}
}

static void close_least_recently_used(struct peer *p)
{
	uint32_t oldest = 0;
	uint32_t i;

	for (i = 1; i < p->socks.len; i++) {
		const struct sock_row *a = tab_at(&p->socks, i);
		const struct sock_row *b = tab_at(&p->socks, oldest);

		if (a->used_ns < b->used_ns)
			oldest = i;
	}
	close_socket(p, oldest);
}

/*
 * With ZMQ_IMMEDIATE, ZeroMQ queues nothing for a peer that is not connected.
 */
static void *connect_push(struct peer *p, const char *endpoint)
{
	void *sock = zmq_socket(p->ctx, ZMQ_PUSH);

	if (!sock)
		return NULL;
	if (set_int(sock, ZMQ_LINGER, 0) || set_int(sock, ZMQ_IMMEDIATE, 1) ||
	    set_int(sock, ZMQ_SNDHWM, SEND_QUEUE_MAX) ||
	    set_int(sock, ZMQ_TCP_MAXRT, TCP_MAX_RETRANSMIT_MS) ||
	    set_int(sock, ZMQ_RECONNECT_IVL, RECONNECT_MS) ||
	    set_int(sock, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS))
		goto fail;
	if (p->curve && (set_key(sock, ZMQ_CURVE_SERVERKEY, p->public) ||
			 set_key(sock, ZMQ_CURVE_PUBLICKEY, p->public) ||
			 set_key(sock, ZMQ_CURVE_SECRETKEY, p->secret)))
		goto fail;
	if (zmq_connect(sock, endpoint))
		goto fail;
	return sock;
fail:
	zmq_close(sock);
	return NULL;
}

static struct sock_row *find_or_connect(struct peer *p, struct str host,
					uint16_t port)
{
	char endpoint[ENDPOINT_BYTES];
	struct sock_row *row;
	struct hnd h;
	uint64_t key;
	void *sock;
	void *added;

	format_connect_endpoint(p, endpoint, host, port);
	key = str_hash(str_from(endpoint));
	row = tab_get(&p->socks, idx_get(&p->sock_by_key, key));
	if (row)
		return row;
	if (p->socks.len == MAX_SOCKETS)
		close_least_recently_used(p);
	sock = connect_push(p, endpoint);
	if (!sock)
		return NULL;
	h = tab_add(&p->socks, &added);
	idx_put(&p->sock_by_key, key, h);
	row = added;
	row->key = key;
	row->sock = sock;
	row->opened_ns = tmr_now();
	return row;
}

static bool try_send(struct peer *p, struct sock_row *row, struct str bytes)
{
	if (zmq_send(row->sock, bytes.ptr, bytes.len, ZMQ_DONTWAIT) < 0)
		return false;
	p->stats.sent_messages++;
	p->stats.sent_bytes += bytes.len;
	return true;
}

static bool add_pending(struct sock_row *row, struct str bytes, int64_t now)
{
	struct strbuf *copy;

	if (now - row->opened_ns > PENDING_NS ||
	    row->pending_count == PENDING_MAX)
		return false;
	copy = &row->pending[row->pending_count++];
	strbuf_init(copy);
	strbuf_set(copy, bytes);
	return true;
}

/* Returns true while pending messages are left. */
static bool send_pending(struct peer *p, struct sock_row *row, int64_t now)
{
	uint32_t sent = 0;
	uint32_t i;

	while (sent < row->pending_count &&
	       try_send(p, row, strbuf_view(&row->pending[sent])))
		sent++;
	for (i = 0; i < sent; i++)
		strbuf_free(&row->pending[i]);
	row->pending_count -= sent;
	for (i = 0; i < row->pending_count; i++)
		row->pending[i] = row->pending[i + sent];
	if (row->pending_count && now - row->opened_ns > PENDING_NS)
		drop_pending(p, row);
	return row->pending_count > 0;
}

bool peer_flush(struct peer *p)
{
	int64_t now = tmr_now();
	bool pending = false;
	uint32_t i;

	if (!p->has_pending)
		return false;
	for (i = 0; i < p->socks.len; i++) {
		struct sock_row *row = tab_at(&p->socks, i);

		if (row->pending_count)
			pending |= send_pending(p, row, now);
	}
	p->has_pending = pending;
	return pending;
}

void peer_send(struct peer *p, struct str host, uint16_t port,
	       const struct msg *m)
{
	int64_t now = tmr_now();
	struct sock_row *row;

	close_idle(p, now);
	row = find_or_connect(p, host, port);
	strbuf_reset(&p->out);
	wire_encode(m, &p->out);
	if (!row) {
		p->stats.dropped++;
		return;
	}
	row->used_ns = now;
	/* Pending messages first, to keep the order. */
	if (row->pending_count && send_pending(p, row, now))
		p->has_pending = true;
	if (!row->pending_count && try_send(p, row, strbuf_view(&p->out)))
		return;
	if (add_pending(row, strbuf_view(&p->out), now))
		p->has_pending = true;
	else
		p->stats.dropped++;
}

static void handle_frame(struct peer *p, zmq_msg_t *raw,
			 void (*on_msg)(void *ctx, const struct msg *m),
			 void *ctx)
{
	struct str bytes = {zmq_msg_data(raw), zmq_msg_size(raw)};
	bool multipart = p->in_multipart || zmq_msg_more(raw);

	p->in_multipart = zmq_msg_more(raw);
	p->stats.received_messages++;
	p->stats.received_bytes += bytes.len;
	/* Messages of this protocol have one frame. */
	if (multipart || wire_decode(bytes, &p->in)) {
		p->stats.rejected++;
		return;
	}
	on_msg(ctx, &p->in);
}

void peer_receive(struct peer *p,
		  void (*on_msg)(void *ctx, const struct msg *m), void *ctx)
{
	zmq_msg_t raw;

	close_idle(p, tmr_now());
	for (;;) {
		zmq_msg_init(&raw);
		if (zmq_msg_recv(&raw, p->pull, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&raw);
			return;
		}
		handle_frame(p, &raw, on_msg, ctx);
		zmq_msg_close(&raw);
	}
}

void peer_get_stats(const struct peer *p, struct peer_stats *out)
{
	*out = p->stats;
	if (p->zap)
		out->rejected += zap_rejected(p->zap);
}

void peer_add_metrics(const struct peer *p, struct strbuf *out)
{
	struct peer_stats s;

	peer_get_stats(p, &s);
	strbuf_addf(out,
		    "currantpaddle_peer_sent_messages_total %llu\n"
		    "currantpaddle_peer_sent_bytes_total %llu\n"
		    "currantpaddle_peer_received_messages_total %llu\n"
		    "currantpaddle_peer_received_bytes_total %llu\n"
		    "currantpaddle_peer_rejected_total %llu\n"
		    "currantpaddle_peer_dropped_total %llu\n",
		    (unsigned long long)s.sent_messages,
		    (unsigned long long)s.sent_bytes,
		    (unsigned long long)s.received_messages,
		    (unsigned long long)s.received_bytes,
		    (unsigned long long)s.rejected,
		    (unsigned long long)s.dropped);
}
