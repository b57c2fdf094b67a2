#ifndef TEAM_KEY_H
#define TEAM_KEY_H

#include "edge_config.h"

/*
 * Keys by which callers identify their team. Only the hash of a key is kept;
 * the key itself stays in the input of the caller's connection.
 */

/* What a request has shown to identify its team. */
struct tkey_credential {
	/* The other member holds the hash of a key. */
	bool present;
	uint8_t hash[CONF_KEY_HASH_BYTES];
};

enum tkey_result {
	/* The team is NULL on a public route. */
	TKEY_ALLOWED,
	TKEY_MISSING,
	/* No team holds the key. */
	TKEY_UNKNOWN,
};

void tkey_hash(struct str key, uint8_t hash[CONF_KEY_HASH_BYTES]);
/* Reads the value of an Authorization field, "Bearer KEY". Anything else gives
 * a credential that is not present. */
struct tkey_credential tkey_read(struct str authorization);
/* Team that holds the key; NULL for none. */
const struct conf_team *tkey_find(const struct conf *c,
				  const uint8_t hash[CONF_KEY_HASH_BYTES]);
/* Checks a request for a route; c has teams. Sets the team if the result is
 * TKEY_ALLOWED. */
enum tkey_result tkey_check(const struct conf *c,
			    const struct conf_route *route,
			    const struct tkey_credential *credential,
			    const struct conf_team **team);
/* Reason of a refusal, for the log and the caller. */
const char *tkey_reason(enum tkey_result result);

#endif
