#ifndef ROL_H
#define ROL_H

#include "core.h"

/*
 * Rollout of configuration: which bundle version exists, where to fetch it,
 * and submission by conditional write. Never goes back to an older version.
 */

enum rol_submit_result {
	ROL_ACCEPTED,
	/* Another bundle has this or a newer version; winner says whose. */
	ROL_CONFLICT,
	ROL_UNREACHABLE,
	/* The write may have taken effect and could not be read back. */
	ROL_UNKNOWN,
};

struct rol_submit {
	struct str signed_text;
	int64_t version;
	/* Name of the operator token, for the conflict message. */
	struct str operator_name;
	void (*done)(void *ctx, enum rol_submit_result result, int64_t version,
		     struct str winner);
	void *ctx;
};

void rol_init(struct core *c);
void rol_free(struct core *c);
/* A bundle is in force on this VM; text is kept to serve peers. */
void rol_set_active(struct core *c, int64_t version, struct str signed_text);
/* The text that was handed over under this version is not valid. */
void rol_on_rejected(struct core *c, int64_t version);
void rol_submit(struct core *c, const struct rol_submit *submit);
/* A peer's record names this version. */
void rol_on_peer_version(struct core *c, const struct member_row *peer,
			 int64_t version);
void rol_on_bundle_get(struct core *c, const struct msg *m);
void rol_on_bundle_part(struct core *c, const struct msg *m);
void rol_tick(struct core *c);
int64_t rol_next_due(const struct core *c);
/* State of submissions, for sbmt.c. */
struct sbmt *rol_sbmt(struct core *c);
/* Version in force; 0 before the first. */
int64_t rol_active_version(const struct core *c);
/* Signed text of the version in force. */
struct str rol_active_text(const struct core *c);
/* Bundle bytes received from another region. */
uint64_t rol_link_bytes(const struct core *c);
/* Bundle bytes received from the object store. */
uint64_t rol_object_bytes(const struct core *c);
/* Appends both as Prometheus text. */
void rol_add_metrics(const struct core *c, struct strbuf *out);

#endif
