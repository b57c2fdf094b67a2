#ifndef ROL_H
#define ROL_H

#include "core.h"

/*
 * Rollout of configuration bundles: finds out which version is the newest,
 * fetches it from a peer or the object store, and submits new versions by a
 * conditional write. The active version is the one in force on this VM; it
 * never decreases.
 */

enum rol_submit_result {
	ROL_ACCEPTED,
	/*
	 * Another bundle with this or a newer version was accepted; winner is
	 * the name of its operator.
	 */
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
/* The bundle is active on this VM; its text is kept to serve peers. */
void rol_set_active(struct core *c, int64_t version, struct str signed_text);
/* The text that core_ops.bundle passed on under this version is not valid. */
void rol_on_rejected(struct core *c, int64_t version);
void rol_submit(struct core *c, const struct rol_submit *submit);
/* The peer's gossip record names this bundle version. */
void rol_on_peer_version(struct core *c, const struct member_row *peer,
			 int64_t version);
void rol_on_bundle_get(struct core *c, const struct msg *m);
void rol_on_bundle_part(struct core *c, const struct msg *m);
void rol_tick(struct core *c);
int64_t rol_next_due(const struct core *c);
/* State of submissions, for sbmt.c. */
struct sbmt *rol_sbmt(struct core *c);
/* Version of the active bundle; 0 before the first. */
int64_t rol_active_version(const struct core *c);
/* Signed text of the active bundle. */
struct str rol_active_text(const struct core *c);
/* Bytes of bundles received from other regions. */
uint64_t rol_link_bytes(const struct core *c);
/* Bytes of bundles received from the object store. */
uint64_t rol_object_bytes(const struct core *c);
/* Appends both byte counts as Prometheus text. */
void rol_add_metrics(const struct core *c, struct strbuf *out);

#endif
