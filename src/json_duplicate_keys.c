#include "json_duplicate_keys.h"

#include <json-c/json.h>
#include <string.h>

#include "entity_table.h"

/* Bounds the time for the linear comparison of the keys of an object. */
#define MAX_OBJECT_KEYS 1000

/* An object or array that is open at the current position. */
struct frame {
	bool is_object;
	bool expects_key;
	/* Index in scanner.keys of its first key. */
	uint32_t first_key;
};

struct scanner {
	struct str text;
	size_t pos;
	struct tab frames;
	/* Hashes of the keys of all open objects. */
	struct tab keys;
};

static struct frame *top(struct scanner *s)
{
	return s->frames.len ? tab_at(&s->frames, s->frames.len - 1) : NULL;
}

static void push(struct scanner *s, bool is_object)
{
	struct frame *f;
	void *row;

	tab_add(&s->frames, &row);
	f = row;
	f->is_object = is_object;
	f->expects_key = is_object;
	f->first_key = s->keys.len;
}

static void remove_last(struct tab *t)
{
	tab_del(t, tab_handle(t, t->len - 1));
}

static void pop(struct scanner *s)
{
	struct frame *f = top(s);

	if (!f)
		return;
	while (s->keys.len > f->first_key)
		remove_last(&s->keys);
	remove_last(&s->frames);
}

/* Skips a comment that begins at pos; leaves pos on its last byte. */
static void skip_comment(struct scanner *s)
{
	bool is_line = s->pos + 1 < s->text.len &&
		       s->text.ptr[s->pos + 1] == '/';

	for (s->pos += 2; s->pos < s->text.len; s->pos++) {
		if (is_line && s->text.ptr[s->pos] == '\n')
			return;
		if (!is_line && s->text.ptr[s->pos] == '/' &&
		    s->text.ptr[s->pos - 1] == '*')
			return;
	}
}

/* Moves pos to the closing quote; returns the text between the quotes. */
static struct str skip_string(struct scanner *s)
{
	char quote = s->text.ptr[s->pos];
	size_t first = s->pos + 1;

	for (s->pos = first; s->pos < s->text.len; s->pos++) {
		if (s->text.ptr[s->pos] == quote)
			break;
		if (s->text.ptr[s->pos] == '\\')
			s->pos++;
	}
	if (s->pos > s->text.len)
		s->pos = s->text.len;
	return (struct str){s->text.ptr + first, s->pos - first};
}

/* Hashes the unescaped key: two spellings of one key are duplicates. */
static uint64_t hash_key(struct str raw)
{
	struct json_object *o;
	struct strbuf quoted;
	uint64_t hash;

	if (!raw.len || !memchr(raw.ptr, '\\', raw.len))
		return str_hash(raw);
	strbuf_init(&quoted);
	strbuf_add_char(&quoted, raw.ptr[-1]);
	strbuf_add(&quoted, raw);
	strbuf_add_char(&quoted, raw.ptr[-1]);
	o = json_tokener_parse(strbuf_cstr(&quoted));
	hash = str_hash(str_from(o ? json_object_get_string(o) : ""));
	json_object_put(o);
	strbuf_free(&quoted);
	return hash;
}

/*
 * Returns true if the innermost object has the key already, or too many keys.
 */
static bool add_key(struct scanner *s, struct str raw)
{
	uint64_t hash = hash_key(raw);
	uint32_t i;
	void *row;

	top(s)->expects_key = false;
	for (i = top(s)->first_key; i < s->keys.len; i++)
		if (*(uint64_t *)tab_at(&s->keys, i) == hash)
			return true;
	if (s->keys.len - top(s)->first_key == MAX_OBJECT_KEYS)
		return true;
	tab_add(&s->keys, &row);
	*(uint64_t *)row = hash;
	return false;
}

/* Handles the token at pos; returns true if it is a duplicate key. */
static bool scan_token(struct scanner *s, struct str *key)
{
	switch (s->text.ptr[s->pos]) {
	case '{':
	case '[':
		push(s, s->text.ptr[s->pos] == '{');
		break;
	case '}':
	case ']':
		pop(s);
		break;
	case ',':
		if (top(s))
			top(s)->expects_key = top(s)->is_object;
		break;
	case '/':
		skip_comment(s);
		break;
	case '"':
	case '\'':
		*key = skip_string(s);
		if (top(s) && top(s)->expects_key)
			return add_key(s, *key);
		break;
	default:
		break;
	}
	return false;
}

bool cfg_find_duplicate_key(struct str text, struct str *key, size_t *offset)
{
	struct scanner s = {.text = text};
	bool found = false;

	tab_init(&s.frames, sizeof(struct frame));
	tab_init(&s.keys, sizeof(uint64_t));
	for (; s.pos < text.len && !found; s.pos++)
		found = scan_token(&s, key);
	if (found)
		*offset = (size_t)(key->ptr - text.ptr);
	tab_free(&s.frames);
	tab_free(&s.keys);
	return found;
}
