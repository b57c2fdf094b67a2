#include "counted_string.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define STRBUF_MIN_CAP 64

struct str str_from(const char *cstr)
{
	struct str s = {cstr, cstr ? strlen(cstr) : 0};

	return s;
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

bool str_eq_nocase(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !strncasecmp(a.ptr, b.ptr, a.len));
}

int str_cmp(struct str a, struct str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int order = n ? memcmp(a.ptr, b.ptr, n) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

bool str_starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len &&
	       (!prefix.len || !memcmp(s.ptr, prefix.ptr, prefix.len));
}

struct str str_trim(struct str s)
{
	while (s.len && isspace((unsigned char)s.ptr[0])) {
		s.ptr++;
		s.len--;
	}
	while (s.len && isspace((unsigned char)s.ptr[s.len - 1]))
		s.len--;
	return s;
}

struct str str_skip(struct str s, size_t n)
{
	if (n > s.len)
		n = s.len;
	s.ptr += n;
	s.len -= n;
	return s;
}

struct str str_split(struct str *s, char sep)
{
	const char *at = s->len ? memchr(s->ptr, sep, s->len) : NULL;
	struct str head = *s;

	if (!at) {
		*s = STR_NONE;
		return head;
	}
	head.len = (size_t)(at - s->ptr);
	*s = str_skip(*s, head.len + 1);
	return head;
}

bool str_is_digits(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (s.ptr[i] < '0' || s.ptr[i] > '9')
			return false;
	return s.len > 0;
}

bool str_parse_u64(struct str s, uint64_t *out)
{
	uint64_t value = 0;
	size_t i;

	if (!s.len)
		return false;
	for (i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.ptr[i] - '0';

		if (digit > 9)
			return false;
		if (__builtin_mul_overflow(value, (uint64_t)10, &value) ||
		    __builtin_add_overflow(value, (uint64_t)digit, &value))
			return false;
	}
	*out = value;
	return true;
}

uint64_t str_hash(struct str s)
{
	return XXH3_64bits(s.len ? s.ptr : "", s.len);
}

void str_copy(char *dst, size_t size, struct str s)
{
	size_t n = s.len < size - 1 ? s.len : size - 1;

	if (n)
		memcpy(dst, s.ptr, n);
	dst[n] = '\0';
}

void strbuf_init(struct strbuf *sb)
{
	sb->ptr = NULL;
	sb->len = 0;
	sb->cap = 0;
}

void strbuf_free(struct strbuf *sb)
{
	free(sb->ptr);
	strbuf_init(sb);
}

void strbuf_reset(struct strbuf *sb)
{
	sb->len = 0;
	if (sb->ptr)
		sb->ptr[0] = '\0';
}

void strbuf_grow(struct strbuf *sb, size_t extra)
{
	size_t need = sb->len + extra + 1;
	size_t cap = sb->cap ? sb->cap : STRBUF_MIN_CAP;

	if (need <= sb->cap)
		return;
	while (cap < need)
		cap *= 2;
	sb->ptr = realloc(sb->ptr, cap);
	if (!sb->ptr)
		abort();
	sb->cap = cap;
	sb->ptr[sb->len] = '\0';
}

void strbuf_add(struct strbuf *sb, struct str s)
{
	strbuf_grow(sb, s.len);
	if (s.len)
		memcpy(sb->ptr + sb->len, s.ptr, s.len);
	sb->len += s.len;
	sb->ptr[sb->len] = '\0';
}

void strbuf_add_char(struct strbuf *sb, char c)
{
	struct str s = {&c, 1};

	strbuf_add(sb, s);
}

void strbuf_addf(struct strbuf *sb, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	strbuf_grow(sb, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(sb->ptr + sb->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	sb->len += (size_t)n;
}

void strbuf_set(struct strbuf *sb, struct str s)
{
	strbuf_reset(sb);
	strbuf_add(sb, s);
}

void strbuf_remove(struct strbuf *sb, size_t n)
{
	if (!n)
		return;
	memmove(sb->ptr, sb->ptr + n, sb->len - n);
	sb->len -= n;
	sb->ptr[sb->len] = '\0';
}

struct str strbuf_view(const struct strbuf *sb)
{
	struct str s = {sb->ptr, sb->len};

	return s;
}

const char *strbuf_cstr(const struct strbuf *sb)
{
	return sb->ptr ? sb->ptr : "";
}
