#ifndef STORE_ERA_H
#define STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "counted_string.h"

/*
 * Eras of the store. The store may return from a copy that is some seconds old;
 * its era then rises by one, and it gives out versions again that it has given
 * out before. A version therefore says something only together with its era.
 *
 * An era is held as the store's number plus one, so that 0 stands for a store
 * that names none.
 */
#define ERA_NONE 0

/* A version, and the era of the store in which it was given out or read. */
struct era_version {
	uint64_t era;
	uint64_t version;
};

/* What a response of the store is good for. */
enum era_response {
	ERA_USE,
	/* It is of an era before the newest one; it says nothing. */
	ERA_IGNORE,
	/* It continues from rows of an earlier era; all are to be read. */
	ERA_READ_ALL,
};

/* What becomes of a configuration that was read or received. */
enum era_config {
	/* It is known, or older than a known one. */
	ERA_CONFIG_DROP,
	ERA_CONFIG_APPLY,
	/* It is of a newer era, but its number is lower than that of the one in
	 * force, which the operator is about to write again. */
	ERA_CONFIG_HOLD,
};

/* Decodes the value of the header; ERA_NONE for a malformed or empty one. */
uint64_t era_decode(struct str value);
/* The store's number for an era other than ERA_NONE. */
uint64_t era_number(uint64_t era);
/* True when a is newer than b: by the era, then by the version. */
bool era_is_newer(struct era_version a, struct era_version b);
/*
 * Judges a response that names an era, ERA_NONE for none. known is the newest
 * era heard, before this response. The read began with rows of the era began;
 * it reads all if it needs no earlier rows and this is its first response.
 */
enum era_response era_judge_response(uint64_t known, uint64_t began,
				     uint64_t named, bool reads_all);
/* held is the configuration that is held back, or {0, 0}. */
enum era_config era_judge_config(struct era_version in_force,
				 struct era_version held,
				 struct era_version offered);
/* True when the configuration held back since then is to be put in force, as
 * the operator has not written a later one. */
bool era_hold_is_over(int64_t since_ns, int64_t now_ns);

#endif
