#include "cfgd.h"

#include <json-c/json.h>
#include <string.h>

#include "tab.h"

/* Keys of one object are compared one by one. */
#define MAX_KEYS 1000

struct frame {
	bool is_object;
	bool expects_key;
	/* Its keys are keys[first_key..]. */
	uint32_t first_key;
};

struct scan {
	struct str text;
	size_t at;
	struct tab frames;
	/* Hashes of the keys of all open objects. */
	struct tab keys;
};

static struct frame *top(struct scan *s)
{
	return s->frames.len ? tab_at(&s->frames, s->frames.len - 1) : NULL;
}

static void push(struct scan *s, bool is_object)
{
	struct frame *f;
	void *row;

	tab_add(&s->frames, &row);
	f = row;
	f->is_object = is_object;
	f->expects_key = is_object;
	f->first_key = s->keys.len;
}

static void drop_last(struct tab *t)
{
	tab_del(t, tab_handle(t, t->len - 1));
}

static void pop(struct scan *s)
{
	struct frame *f = top(s);

	if (!f)
		return;
	while (s->keys.len > f->first_key)
		drop_last(&s->keys);
	drop_last(&s->frames);
}

/* Skips a comment that begins at the current byte. */
static void skip_comment(struct scan *s)
{
	bool is_line = s->at + 1 < s->text.len && s->text.ptr[s->at + 1] == '/';

	for (s->at += 2; s->at < s->text.len; s->at++) {
		if (is_line && s->text.ptr[s->at] == '\n')
			return;
		if (!is_line && s->text.ptr[s->at] == '/' &&
		    s->text.ptr[s->at - 1] == '*')
			return;
	}
}

/* Leaves at on the closing quote; returns the text between the quotes. */
static struct str skip_string(struct scan *s)
{
	char quote = s->text.ptr[s->at];
	size_t first = s->at + 1;

	for (s->at = first; s->at < s->text.len; s->at++) {
		if (s->text.ptr[s->at] == quote)
			break;
		if (s->text.ptr[s->at] == '\\')
			s->at++;
	}
	if (s->at > s->text.len)
		s->at = s->text.len;
	return (struct str){s->text.ptr + first, s->at - first};
}

/* Hash of the key's meaning: two spellings of one key are the same key. */
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

/* True when the object on top has the key already, or too many keys. */
static bool add_key(struct scan *s, struct str raw)
{
	uint64_t hash = hash_key(raw);
	uint32_t i;
	void *row;

	top(s)->expects_key = false;
	for (i = top(s)->first_key; i < s->keys.len; i++)
		if (*(uint64_t *)tab_at(&s->keys, i) == hash)
			return true;
	if (s->keys.len - top(s)->first_key == MAX_KEYS)
		return true;
	tab_add(&s->keys, &row);
	*(uint64_t *)row = hash;
	return false;
}

static bool scan_byte(struct scan *s, struct str *key)
{
	switch (s->text.ptr[s->at]) {
	case '{':
	case '[':
		push(s, s->text.ptr[s->at] == '{');
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

bool cfgd_find_duplicate(struct str text, struct str *key, size_t *offset)
{
	struct scan s = {.text = text};
	bool found = false;

	tab_init(&s.frames, sizeof(struct frame));
	tab_init(&s.keys, sizeof(uint64_t));
	for (; s.at < text.len && !found; s.at++)
		found = scan_byte(&s, key);
	if (found)
		*offset = (size_t)(key->ptr - text.ptr);
	tab_free(&s.frames);
	tab_free(&s.keys);
	return found;
}
