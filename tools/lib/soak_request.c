#include "soak_request.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Divisible by 8. */
#define RECORD_BYTES 128

const char *const sreq_field_names[2] = {"X-Soak-Check", "Accept-Language"};
const char *const sreq_kind_names[SREQ_KINDS] = {"safe", "unsafe", "upload"};

static uint64_t mix(uint64_t x)
{
	x += UINT64_C(0x9e3779b97f4a7c15);
	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return x ^ x >> 31;
}

void sreq_id(char id[SREQ_ID_BYTES], uint64_t seed, uint64_t caller,
	     uint64_t number)
{
	snprintf(id, SREQ_ID_BYTES, "s%" PRIu64 "-%" PRIu64 "-%" PRIu64, seed,
		 caller, number);
}

static size_t draw_body_len(enum sreq_kind kind, uint64_t random)
{
	/* Of a thousand bodies, those up to the limit. */
	static const struct {
		unsigned share[SREQ_KINDS];
		size_t limit;
	} sizes[] = {
		{{1000, 100, 50}, 0},  {{0, 600, 250}, 200},
		{{0, 250, 200}, 5000}, {{0, 40, 400}, 100000},
		{{0, 8, 80}, 400000},  {{0, 2, 20}, SREQ_MAX_BODY_BYTES},
	};
	uint64_t left = random % 1000;
	size_t i = 0;

	while (left >= sizes[i].share[kind])
		left -= sizes[i++].share[kind];
	return sizes[i].limit ? 1 + mix(random) % sizes[i].limit : 0;
}

static bool parse_numbers(struct str s, uint64_t *numbers, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!str_parse_u64(str_split(&s, '-'), &numbers[i]))
			return false;
	return !s.len;
}

static bool parse_probe(struct sreq *r, struct str id)
{
	uint64_t n[2];

	if (!parse_numbers(str_skip(id, strlen("probe-")), n, 2))
		return false;
	snprintf(r->id, sizeof(r->id), "probe-%" PRIu64 "-%" PRIu64, n[0],
		 n[1]);
	snprintf(r->path, sizeof(r->path), "/safe-%" PRIu64 "/x", n[0]);
	r->probe = true;
	r->method = "GET";
	return str_eq(id, str_from(r->id));
}

bool sreq_from_id(struct sreq *r, struct str id)
{
	uint64_t n[3], h;

	memset(r, 0, sizeof(*r));
	if (str_starts_with(id, STR("probe-")))
		return parse_probe(r, id);
	if (!str_starts_with(id, STR("s")) ||
	    !parse_numbers(str_skip(id, 1), n, 3))
		return false;
	sreq_id(r->id, n[0], n[1], n[2]);
	if (!str_eq(id, str_from(r->id)))
		return false;
	h = mix(mix(mix(n[0]) ^ n[1]) ^ n[2]);
	r->hash = h;
	r->kind = (enum sreq_kind)(h % SREQ_KINDS);
	r->method = r->kind == SREQ_SAFE ? "GET" : h & 64 ? "PUT" : "POST";
	snprintf(r->path, sizeof(r->path), "/%s/%" PRIx64 "/x",
		 sreq_kind_names[r->kind], mix(h + 1));
	if (h & 128)
		snprintf(r->query, sizeof(r->query),
			 "n=%" PRIu64 "&p=%%2Fa%%20b/../c&h=%" PRIx64, n[2],
			 mix(h + 2));
	snprintf(r->fields[0], sizeof(r->fields[0]), "%" PRIx64, mix(h + 3));
	if (h & 256)
		snprintf(r->fields[1], sizeof(r->fields[1]),
			 "x-%" PRIx64 ", en", mix(h + 4));
	r->body_len = draw_body_len(r->kind, mix(h + 5));
	return true;
}

/* Every other body consists of requests, so that a server that takes a part of
 * a body for a request says so; the others are binary. */
static void make_record(const struct sreq *r, size_t number,
			char out[RECORD_BYTES])
{
	static const char end[] = {'\r', '\n', '\r', '\n'};
	size_t i;
	int len;

	if (r->hash & 512) {
		len = snprintf(out, RECORD_BYTES,
			       "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
			       "Request-Id: in-%zu-%s",
			       number, r->id);
		if (len > RECORD_BYTES - (int)sizeof(end))
			len = RECORD_BYTES - (int)sizeof(end);
		memset(out + len, '.', (size_t)(RECORD_BYTES - len));
		memcpy(out + RECORD_BYTES - sizeof(end), end, sizeof(end));
		return;
	}
	for (i = 0; i < RECORD_BYTES; i += sizeof(uint64_t)) {
		uint64_t word = mix(r->hash ^ mix(number * RECORD_BYTES + i));

		memcpy(out + i, &word, sizeof(word));
	}
}

void sreq_body(const struct sreq *r, size_t offset, char *out, size_t len)
{
	char record[RECORD_BYTES];

	while (len) {
		size_t start = offset % RECORD_BYTES;
		size_t n = RECORD_BYTES - start;

		n = n < len ? n : len;
		make_record(r, offset / RECORD_BYTES, record);
		memcpy(out, record + start, n);
		out += n;
		offset += n;
		len -= n;
	}
}

size_t sreq_compare(const struct sreq *r, size_t offset, const char *bytes,
		    size_t len)
{
	size_t done = 0, i;

	while (done < len) {
		char expected[RECORD_BYTES];
		size_t at = offset + done;
		size_t n = len - done;

		if (at >= r->body_len)
			return done;
		n = n < r->body_len - at ? n : r->body_len - at;
		n = n < sizeof(expected) ? n : sizeof(expected);
		sreq_body(r, at, expected, n);
		for (i = 0; i < n; i++)
			if (expected[i] != bytes[done + i])
				return done + i;
		done += n;
	}
	return done;
}

void sreq_add_response(const struct sreq *r, struct strbuf *out)
{
	char block[4096];
	size_t at = 0, end = r->body_len;

	if (end > SREQ_MAX_RESPONSE_BYTES)
		end = SREQ_MAX_RESPONSE_BYTES;
	if (!end)
		strbuf_add(out, STR("ok"));
	while (at < end) {
		size_t n = end - at < sizeof(block) ? end - at : sizeof(block);

		sreq_body(r, at, block, n);
		strbuf_add(out, (struct str){block, n});
		at += n;
	}
}
