#ifndef NEWS_H
#define NEWS_H

#include "hlth.h"
#include "load.h"
#include "sync.h"

/*
 * Messages between edge VMs: one UDP datagram each, encoded with MessagePack.
 * Any of them may be lost: reports of health are hints that a VM would
 * otherwise get later from its own requests, and membership is gossiped
 * periodically.
 */
enum err emsg_start(struct edge *e);
void emsg_stop(struct edge *e);
/* Reports the outcome of an attempt at a server to the VMs of the region. */
void emsg_send_outcome(struct edge *e, const struct srv_row *s,
		       enum hlth_outcome outcome);
/* Reports the ejection of a server of this region to the other regions. */
void emsg_send_ejection(struct edge *e, const struct srv_row *s);
/* Reports that this VM tries an ejected server, to the VMs of the region. */
void emsg_send_trial(struct edge *e, const struct srv_row *s);
/* Reports this VM's requests in flight to the VMs of the region, and its counts
 * of the retry budget, which most reports leave out. */
void emsg_send_load(struct edge *e, const struct load_report *r,
		    const struct bud_report *budget);
/* Sends the summary of this region to a few VMs of each other region, which
 * forward it within theirs. */
void emsg_send_summary(struct edge *e, const struct load_summary *s);
/* Broadcasts a change notice to the VMs of the region. */
void emsg_send_notice(struct edge *e, const struct sync_notice *n);
/* Gossips membership to a few VMs; if urgent, to all VMs of the region and one
 * of another region. */
void emsg_send_members(struct edge *e, bool urgent);

#endif
