#ifndef COUNTED_STRING_H
#define COUNTED_STRING_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Length-counted strings. A str is a non-owning view and may contain NUL
 * bytes. A strbuf owns its bytes and, once allocated, keeps a NUL after the
 * last one, so that strbuf_cstr() can be passed to libraries. A strbuf that
 * runs out of memory aborts the process.
 */
struct str {
	const char *ptr;
	size_t len;
};

struct strbuf {
	char *ptr;
	size_t len;
	size_t cap;
};

#define STR(literal) ((struct str){"" literal, sizeof(literal) - 1})
#define STR_NONE ((struct str){NULL, 0})
/* Arguments for a "%.*s" conversion. */
#define STR_FMT(s) (int)(s).len, (s).ptr ? (s).ptr : ""

/* Returns a view of a NUL-terminated string; NULL gives an empty view. */
struct str str_from(const char *cstr);
bool str_eq(struct str a, struct str b);
bool str_eq_nocase(struct str a, struct str b);
/* Compares bytewise, like memcmp(); a prefix sorts before a longer string. */
int str_cmp(struct str a, struct str b);
bool str_starts_with(struct str s, struct str prefix);
/* Removes leading and trailing white space. */
struct str str_trim(struct str s);
/* Returns s without its first n bytes; empty if it has no more than n. */
struct str str_skip(struct str s, size_t n);
/*
 * Splits s at the first sep: returns the part before it and leaves the part
 * after it in s. Without a sep, returns the whole string and leaves s empty.
 */
struct str str_split(struct str *s, char sep);
/* Returns true for one or more decimal digits and nothing else. */
bool str_is_digits(struct str s);
/*
 * Parses decimal digits. Returns false on an empty string, on any other byte
 * (signs and white space included) and on overflow.
 */
bool str_parse_u64(struct str s, uint64_t *out);
/* Returns the 64-bit XXH3 hash of the bytes. */
uint64_t str_hash(struct str s);
/* Copies into a NUL-terminated array of size bytes, truncating if needed. */
void str_copy(char *dst, size_t size, struct str s);

void strbuf_init(struct strbuf *sb);
void strbuf_free(struct strbuf *sb);
/* Empties the buffer and keeps its memory. */
void strbuf_reset(struct strbuf *sb);
/* Reserves room for at least extra more bytes. */
void strbuf_grow(struct strbuf *sb, size_t extra);
void strbuf_add(struct strbuf *sb, struct str s);
void strbuf_add_char(struct strbuf *sb, char c);
void strbuf_addf(struct strbuf *sb, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), nonnull(2)));
/* Replaces the contents; s must not point into sb. */
void strbuf_set(struct strbuf *sb, struct str s);
/* Removes the first n bytes. */
void strbuf_remove(struct strbuf *sb, size_t n);
/* Returns a view that is valid until the next change of sb. */
struct str strbuf_view(const struct strbuf *sb);
const char *strbuf_cstr(const struct strbuf *sb);

#endif
