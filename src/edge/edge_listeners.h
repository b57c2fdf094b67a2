#ifndef EDGE_LISTENERS_H
#define EDGE_LISTENERS_H

#include "edge.h"

/* Sockets that accept connections of callers, of the platform and of other
 * VMs. */

/* Opens the listeners given in the settings. */
enum err lsn_start(struct edge *e);
/* Closes the listener for callers, after it has accepted the connections that
 * wait there; open connections stay. */
void lsn_stop_accepting(struct edge *e);
/* Accepts callers' connections again after cmem_make_room() found no room. */
void lsn_resume_accepting(struct edge *e);
void lsn_stop(void);

#endif
