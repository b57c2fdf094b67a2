#ifndef ROLLOUT_H
#define ROLLOUT_H

#include "core.h"

/*
 * Rollout of configuration bundles. Each VM learns the newest version from the
 * platform's row (bundle_row.h), which it polls, and from its peers' gossip,
 * and fetches the text from a peer or the object store. Peers are entry VMs of
 * any region. The active version is the one in force on this VM; it never
 * decreases. New versions are submitted by a conditional write
 * (bundle_submit.h).
 */

enum rol_submit_result {
	ROL_ACCEPTED,
	/*
	 * Another bundle was accepted: with this or a newer version, or after
	 * this submission had begun.
	 */
	ROL_CONFLICT,
	/* The platform failed before the bundle's row was written. */
	ROL_UNREACHABLE,
	/* The write may have taken effect and could not be read back. */
	ROL_UNKNOWN,
};

/* A bundle to submit; copied by rol_submit(), except for ctx. */
struct rol_submit {
	struct str signed_text;
	int64_t version;
	/* Name of the operator's token; stored with the accepted bundle. */
	struct str operator_name;
	/*
	 * Receives the submitted version. The winner is the operator of the
	 * bundle found in the platform's row, or empty.
	 */
	void (*done)(void *ctx, enum rol_submit_result result, int64_t version,
		     struct str winner);
	void *ctx;
};

void rol_init(struct core *c);
void rol_free(struct core *c);
/* Called when a bundle has become active; keeps its text, to send to peers. */
void rol_set_active(struct core *c, int64_t version, struct str signed_text);
/* The text given to core_ops.bundle with this version was rejected. */
void rol_on_rejected(struct core *c, int64_t version);
void rol_submit(struct core *c, const struct rol_submit *submit);
/* Handles the active version in a peer's gossip record. */
void rol_on_peer_version(struct core *c, const struct member_row *peer,
			 int64_t version);
/* A peer requests a part of the active bundle's text, or sends one. */
void rol_on_bundle_get(struct core *c, const struct msg *m);
void rol_on_bundle_part(struct core *c, const struct msg *m);
void rol_tick(struct core *c);
int64_t rol_next_due(const struct core *c);
/* State of submissions, for bundle_submit.c. */
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
