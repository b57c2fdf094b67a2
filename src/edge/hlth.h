#ifndef HLTH_H
#define HLTH_H

#include "edge.h"

/*
 * Health of backend servers, judged from real work. Failures add to a score
 * that decays; a server whose score passes a threshold is ejected. An ejected
 * server gets trials, with work that may be repeated where there is any, and
 * returns after successes in a row. What one VM learns is passed to the VMs
 * of its region.
 */
enum hlth_outcome {
	HLTH_SUCCESS,
	/* The server answered with an error of its own. */
	HLTH_ERROR,
	/* The connection broke, or the answer was damaged or cut. */
	HLTH_BROKEN,
	/* No answer within the request's time. */
	HLTH_STALLED,
	/* Refused for lack of room; says nothing about its health. */
	HLTH_FULL,
	/* Another server answers at the address. */
	HLTH_REPLACED,
	HLTH_OUTCOMES,
};

const char *hlth_name(enum hlth_outcome outcome);
/* Outcome of an attempt of this VM. */
void hlth_note(struct edge *e, struct srv_row *s, enum hlth_outcome outcome);
/* This VM starts a trial of an ejected server. */
void hlth_begin_trial(struct edge *e, struct srv_row *s);
/* News of another VM. */
void hlth_hear(struct edge *e, struct srv_row *s, enum hlth_outcome outcome);
void hlth_hear_trial(struct edge *e, struct srv_row *s);
/* Out of regular traffic, as far as this VM knows. */
bool hlth_is_out(const struct edge *e, const struct srv_row *s);
/* A request was taken without a failure at that time. */
void hlth_prove(struct srv_row *s, int64_t at_ns);
/* True when a request of the kind is to try the server now: it is ejected, or
 * nobody is known to have used it lately. In a calm service the pause grows
 * with each trial that fails. */
bool hlth_trial_due(const struct edge *e, const struct srv_row *s,
		    enum conf_request_kind kind, bool calm);
/* The server has waited for a trial for so long that it is made although the
 * retry budget may not cover its failure. */
bool hlth_trial_overdue(const struct edge *e, const struct srv_row *s);

#endif
