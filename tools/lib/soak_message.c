#include "soak_message.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "http_body.h"

#define CONNECT_TIMEOUT_MS 1000

uint64_t smsg_random(uint64_t *state, uint64_t below)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return (*state * UINT64_C(0x2545f4914f6cdd1d) >> 11) % below;
}

int smsg_connect(const char *address, uint16_t port)
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

bool smsg_send_all(int fd, struct str bytes)
{
	while (bytes.len) {
		ssize_t n = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes = str_skip(bytes, (size_t)n);
	}
	return true;
}

void response_init(struct response *res)
{
	memset(res, 0, sizeof(*res));
	strbuf_init(&res->bytes);
	strbuf_init(&res->body);
}

void response_free(struct response *res)
{
	strbuf_free(&res->bytes);
	strbuf_free(&res->body);
}

const char *response_parse(struct response *res)
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

static void add_chunked(uint64_t *random, struct strbuf *out, struct str body)
{
	while (body.len) {
		size_t n = 1 + smsg_random(random,
					   1 + smsg_random(random, body.len));

		strbuf_addf(out, "%zx\r\n", n);
		strbuf_add(out, (struct str){body.ptr, n});
		strbuf_add(out, STR("\r\n"));
		body = str_skip(body, n);
	}
	strbuf_add(out, STR("0\r\n\r\n"));
}

void smsg_add_request(uint64_t *random, const struct sreq *r,
		      struct strbuf *out)
{
	bool chunked = r->body_len && smsg_random(random, 2);
	struct strbuf body;
	size_t i;

	strbuf_init(&body);
	strbuf_grow(&body, r->body_len);
	strbuf_addf(out,
		    "%s %s%s%s HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: %s\r\nDeadline-Ms: %d\r\n",
		    r->method, r->path, *r->query ? "?" : "", r->query, r->id,
		    SMSG_DEADLINE_MS);
	for (i = 0; i < 2; i++)
		if (*r->fields[i])
			strbuf_addf(out, "%s: %s\r\n", sreq_field_names[i],
				    r->fields[i]);
	if (r->body_len) {
		char *bytes = malloc(r->body_len);

		if (!bytes)
			abort();
		sreq_body(r, 0, bytes, r->body_len);
		strbuf_add(&body, (struct str){bytes, r->body_len});
		free(bytes);
	}
	if (chunked) {
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n\r\n"));
		add_chunked(random, out, strbuf_view(&body));
	} else {
		strbuf_addf(out, "Content-Length: %zu\r\n\r\n", body.len);
		strbuf_add(out, strbuf_view(&body));
	}
	strbuf_free(&body);
}

void response_next(struct response *res, size_t trailing_bytes)
{
	strbuf_remove(&res->bytes, res->bytes.len - trailing_bytes);
	strbuf_reset(&res->body);
	res->complete = false;
	res->trailing_bytes = 0;
}

bool smsg_is_response(struct str id, struct str body)
{
	struct strbuf expected;
	struct sreq sent;
	bool equal;

	if (!sreq_from_id(&sent, id))
		return false;
	strbuf_init(&expected);
	sreq_add_response(&sent, &expected);
	equal = str_eq(body, strbuf_view(&expected));
	strbuf_free(&expected);
	return equal;
}
