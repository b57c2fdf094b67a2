#ifndef BUNDLE_SUBMIT_H
#define BUNDLE_SUBMIT_H

#include "entity_table.h"

struct core;
struct rol_submit;

/*
 * Submission of bundles through this VM. A submission reads the platform's row
 * that names the accepted bundle, puts the signed text into the object store
 * and replaces the row by compare-and-swap against the version that it read.
 * After a write without a definite reply it reads the row again to learn the
 * outcome.
 */
struct sbmt {
	struct tab rows;
	uint64_t last_tag;
};

void sbmt_init(struct sbmt *s);
void sbmt_free(struct sbmt *s);
void sbmt_start(struct core *c, const struct rol_submit *submit);
void sbmt_tick(struct core *c);
int64_t sbmt_next_due(const struct sbmt *s);

#endif
