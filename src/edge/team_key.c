#include "team_key.h"

#include <sodium.h>

void tkey_hash(struct str key, uint8_t hash[CONF_KEY_HASH_BYTES])
{
	crypto_generichash(hash, CONF_KEY_HASH_BYTES, (const void *)key.ptr,
			   key.len, NULL, 0);
}

struct tkey_credential tkey_read(struct str authorization)
{
	struct tkey_credential c = {.present = false};
	struct str key = str_trim(authorization);
	struct str scheme = str_split(&key, ' ');
	size_t i;

	key = str_trim(key);
	if (!str_eq_nocase(scheme, STR("bearer")) || !key.len)
		return c;
	for (i = 0; i < key.len; i++)
		if (key.ptr[i] == ' ' || key.ptr[i] == '\t')
			return c;
	tkey_hash(key, c.hash);
	c.present = true;
	return c;
}

const struct conf_team *tkey_find(const struct conf *c,
				  const uint8_t hash[CONF_KEY_HASH_BYTES])
{
	struct hnd h = idx_get(&c->team_key_by_hash, conf_hash_prefix(hash));
	const struct conf_team_key *key;

	if (!h.slot)
		return NULL;
	key = &c->team_keys[h.slot - 1];
	/* In constant time, so that the time to refuse a key tells nothing of
	 * the stored hashes. */
	if (sodium_memcmp(key->hash, hash, CONF_KEY_HASH_BYTES) != 0)
		return NULL;
	return &c->teams[key->team];
}

enum tkey_result tkey_check(const struct conf *c,
			    const struct conf_route *route,
			    const struct tkey_credential *credential,
			    const struct conf_team **team)
{
	*team = NULL;
	if (route->is_public)
		return TKEY_ALLOWED;
	if (!credential->present)
		return TKEY_MISSING;
	*team = tkey_find(c, credential->hash);
	return *team ? TKEY_ALLOWED : TKEY_UNKNOWN;
}

const char *tkey_reason(enum tkey_result result)
{
	static const char *const reasons[] = {
		[TKEY_ALLOWED] = "",
		[TKEY_MISSING] = "no key",
		[TKEY_UNKNOWN] = "unknown key",
	};

	return reasons[result];
}
