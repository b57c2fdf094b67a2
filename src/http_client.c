#include "http_client.h"

#include <ctype.h>
#include <string.h>

#include "timer.h"

/* Bounds the memory that a response can take. */
#define MAX_BODY_BYTES (UINT64_C(256) << 20)

void hcl_init(struct hcl *h, struct str host, uint16_t port, int64_t timeout_ns)
{
	up_pool_init(&h->pool);
	str_copy(h->host, sizeof(h->host), host);
	h->port = port;
	h->timeout_ns = timeout_ns;
}

void hcl_free(struct hcl *h)
{
	up_pool_free(&h->pool);
}

void hcl_response_init(struct hcl_response *response)
{
	response->status = 0;
	strbuf_init(&response->head);
	strbuf_init(&response->body);
}

void hcl_response_free(struct hcl_response *response)
{
	strbuf_free(&response->head);
	strbuf_free(&response->body);
}

static void add_request(const struct hcl *h, const struct hcl_request *r,
			struct strbuf *out)
{
	strbuf_addf(out, "%s %.*s HTTP/1.1\r\nHost: %s:%u\r\n", r->method,
		    STR_FMT(r->target), h->host, h->port);
	strbuf_add(out, r->headers);
	if (r->body.len)
		strbuf_addf(out, "Content-Length: %zu\r\n", r->body.len);
	else if (strcmp(r->method, "GET") != 0)
		strbuf_add(out, STR("Content-Length: 0\r\n"));
	strbuf_add(out, STR("\r\n"));
	strbuf_add(out, r->body);
}

static enum err read_response(struct up_conn *conn, const struct io_wait *wait,
			      struct hcl_response *response)
{
	while (!conn->complete) {
		enum err e = up_read(conn, wait);

		if (e)
			return e;
		strbuf_add(&response->body, conn->body);
		if (response->body.len > MAX_BODY_BYTES)
			return ERR_IO;
	}
	response->status = conn->status;
	strbuf_set(&response->head, strbuf_view(&conn->head));
	return ERR_OK;
}

enum err hcl_call(struct hcl *h, const struct hcl_request *request,
		  struct hcl_response *response)
{
	struct io_wait wait = {
		.caller_fd = -1,
		.wake_fd = -1,
		.early_response_fd = -1,
		.deadline_ns = tmr_now() + h->timeout_ns,
	};
	struct up_conn *conn;
	struct strbuf out;
	enum err e;

	strbuf_reset(&response->head);
	strbuf_reset(&response->body);
	response->status = 0;
	if (up_acquire(&h->pool, 0, h->host, h->port, &wait, &conn))
		return ERR_UNREACHABLE;
	strbuf_init(&out);
	add_request(h, request, &out);
	up_begin(conn, false, h->buf, sizeof(h->buf));
	e = up_send(conn, strbuf_view(&out), &wait);
	if (e && !conn->sent) {
		e = ERR_UNREACHABLE;
	} else {
		if (!e)
			e = read_response(conn, &wait, response);
		if (e)
			e = ERR_UNKNOWN;
	}
	strbuf_free(&out);
	if (e)
		up_close(conn);
	else
		up_release(&h->pool, conn, 1);
	return e;
}

struct str hcl_header(const struct hcl_response *response, struct str name)
{
	struct str rest = strbuf_view(&response->head);

	while (rest.len) {
		struct str line = str_split(&rest, '\n');
		struct str field = str_split(&line, ':');

		if (str_eq_nocase(field, name))
			return str_trim(line);
	}
	return STR_NONE;
}

void hcl_add_percent_encoded(struct strbuf *out, struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if ((c < 128 && isalnum(c)) || c == '-' || c == '_' || c == '/')
			strbuf_add_char(out, (char)c);
		else
			strbuf_addf(out, "%%%02X", c);
	}
}

enum err hcl_parse_address(struct str s, struct str *host, uint16_t *port)
{
	uint64_t number;

	*host = str_split(&s, ':');
	if (!host->len || host->len > 63 || !str_parse_u64(s, &number) ||
	    !number || number > UINT16_MAX)
		return ERR_INVALID;
	*port = (uint16_t)number;
	return ERR_OK;
}
