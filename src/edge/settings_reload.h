#ifndef SETTINGS_RELOAD_H
#define SETTINGS_RELOAD_H

#include "edge.h"

/*
 * Settings that change while the process runs: on SIGHUP, or when the file is
 * found to be another one. All that can change takes effect as one step; an
 * invalid file changes nothing.
 */

/* Watches the settings file. */
void rset_start(struct edge *e);
/* Reads the file again. */
void rset_reload(struct edge *e);
/*
 * Takes over new settings and frees those that they replace. The names of
 * settings that differ but need a restart are appended to restart, separated by
 * spaces; these keep their values. Returns whether any other setting differs.
 */
bool rset_apply(struct edge *e, struct eset *fresh, struct strbuf *restart);

#endif
