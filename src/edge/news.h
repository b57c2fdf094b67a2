#ifndef NEWS_H
#define NEWS_H

#include "hlth.h"
#include "load.h"
#include "sync.h"

/*
 * Messages between edge VMs: one UDP datagram each, encoded with MessagePack.
 * Nothing depends on a single one: health news is a hint that own work would
 * give later, and membership is repeated.
 */
enum err emsg_start(struct edge *e);
void emsg_stop(struct edge *e);
/* Tells the VMs of the region about an attempt at a server. */
void emsg_send_outcome(struct edge *e, const struct srv_row *s,
		       enum hlth_outcome outcome);
/* Tells the other regions that a server of this one was ejected. */
void emsg_send_ejection(struct edge *e, const struct srv_row *s);
void emsg_send_trial(struct edge *e, const struct srv_row *s);
/* Tells the VMs of the region what this one has in flight, and its counts of
 * the retry budget, none in most reports. */
void emsg_send_load(struct edge *e, const struct load_report *r,
		    const struct bud_report *budget);
/* Tells the other regions of this one, by way of a few VMs there. */
void emsg_send_summary(struct edge *e, const struct load_summary *s);
/* Tells the VMs of the region what was read from the store. */
void emsg_send_notice(struct edge *e, const struct sync_notice *n);
/* Sends this VM's record to some others; all when it is urgent. */
void emsg_send_members(struct edge *e, bool urgent);

#endif
