#ifndef EDGE_H
#define EDGE_H

#include <netinet/in.h>

#include "conf.h"
#include "dia.h"
#include "eset.h"
#include "ev.h"

#define EDGE_ID_BYTES 72
/* Backend servers that one request is remembered to have tried. */
#define EDGE_MAX_TRIED 6

/*
 * Tables of an edge process. Each struct is a row; docs/design.md lists the
 * systems that read and write it. Zones, regions and services are named by
 * the hash of their name.
 */

/* Parts in which the window of a retry budget is counted, and the current
 * one: half a second each for a window of 10 s. */
#define BUD_SLOTS 21
/* Services that a report of the budget names. */
#define BUD_MAX_COUNTS 16

/* What one VM has counted for a service. */
struct bud_count {
	uint64_t service;
	/* Within the window of the retry budget. */
	uint32_t requests;
	uint32_t repeats;
	/* Within the last seconds: requests, and those that no server
	 * answered with a success. */
	uint32_t recent;
	uint32_t lost;
};

struct bud_report {
	uint32_t count;
	struct bud_count counts[BUD_MAX_COUNTS];
};

/* A service, with the window of its retry budget. */
struct svc_row {
	uint64_t key;
	struct str name;
	/* Servers of the service, by srv_row.next; see srv_first(). */
	struct hnd first_server;
	/* Of this VM, newest first. */
	uint32_t requests[BUD_SLOTS];
	uint32_t repeats[BUD_SLOTS];
	uint32_t lost[BUD_SLOTS];
	int64_t slot_since_ns;
	/* Repeats that no report to the other VMs holds yet. */
	uint32_t unreported;
	/* Last request of this VM that may be repeated; 0 for none. */
	int64_t safe_ns;
	/* Running mean of the time to a complete answer. */
	int64_t mean_ns;
};

/* What the store says of a backend server. */
struct srv_report {
	struct str id;
	uint64_t service;
	uint64_t zone;
	struct sockaddr_in addr;
	uint32_t slots;
	bool draining;
	uint64_t seq;
	/* Unix milliseconds of the server's start. */
	int64_t born_ms;
	/* How much longer the server stays slow after its start. */
	int64_t warm_left_ns;
	/* Version of the row in the store; larger is newer. */
	uint64_t version;
};

/* A row as it was reported, or that it is no longer listed. */
struct cdc_row {
	struct srv_report report;
	bool missing;
	/* Holds report.id where the row outlives what it was read from. */
	char id[EDGE_ID_BYTES];
};

/* Rows that fit one message between VMs. */
#define SYNC_MAX_ROWS 15
/* Changed rows that are kept to be passed on. */
#define SYNC_KEPT_ROWS 512
/* Readings whose rows a notice repeats, so that a lost datagram is no gap. */
#define SYNC_REPEATED 3

/* Changes that a reader has read, in the order of their versions. */
struct sync_changes {
	struct cdc_row rows[SYNC_KEPT_ROWS];
	uint32_t count;
	/* The rows are all changes after this version. */
	uint64_t from;
	/* Versions after which the newest readings asked, newest first. */
	uint64_t readings[SYNC_REPEATED];
};

/* What this VM knows of the store, and from whom; see sync.h. */
struct sync_state {
	/* Versions of the store up to which the tables were read. */
	uint64_t config_version;
	uint64_t servers_version;
	/* Last reading, own or of another VM. */
	int64_t heard_ns;
	struct hnd timer;
	bool reading_config;
	bool reading_servers;
	uint64_t read_after;
	bool config_failing;
	bool servers_failing;
	int64_t config_pause_ns;
	int64_t servers_pause_ns;
	int64_t config_retry_ns;
	uint64_t notified_config;
	/* Notices of a new configuration that are still to be sent. */
	uint32_t repeats_left;
	/* Connection to the VM that is asked for its state. */
	struct hnd peer;
	bool fetching;
	bool fetch_failed;
	bool fetch_planned;
	uint64_t fetch_from;
	struct sync_changes changes;
};

enum srv_state {
	SRV_READY,
	SRV_DRAINING,
	/* No longer listed; the row stays while requests are in flight. */
	SRV_GONE,
};

/* A backend server: one incarnation. */
struct srv_row {
	char id[EDGE_ID_BYTES];
	uint64_t key;
	uint64_t service;
	/* Neighbours in the list of the service. */
	struct hnd next;
	struct hnd before;
	uint64_t zone;
	uint64_t region;
	struct sockaddr_in addr;
	uint32_t slots;
	enum srv_state state;
	int64_t born_ms;
	uint64_t seq;
	uint64_t version;
	int64_t warm_until_ns;
	int64_t joined_ns;
	/* When a missing row is taken as gone; 0 while listed. */
	int64_t missing_until_ns;
	/* Work of this VM. */
	uint32_t in_flight;
	uint32_t idle_links;
	/* Work of the other VMs of the region, as they reported it. */
	uint32_t remote_in_flight;
	/* Ejected by the VMs of its region, which is not this one. */
	bool ejected_there;
	/* Refused for lack of room; no new work until then. */
	int64_t full_until_ns;
	/* Ejection: out of regular traffic since, and the next trial. */
	bool suspect;
	int64_t suspect_ns;
	int64_t next_trial_ns;
	int64_t last_trial_ns;
	/* When a request was last taken without a failure. */
	int64_t proof_ns;
	uint32_t trial_successes;
	/* Trials in a row that failed. */
	uint32_t trial_failures;
	/* Weight of recent failures; decays with time from score_ns. */
	double score;
	int64_t score_ns;
	/* Complete reading of the store that listed this server last. */
	uint32_t read_mark;
};

enum req_state {
	/* This VM has just started and has no configuration yet. */
	REQ_UNROUTED,
	/* The body is being received. */
	REQ_BODY,
	/* Waiting for a backend server with room. */
	REQ_QUEUED,
	/* On a connection that is not yet established. */
	REQ_CONNECTING,
	/* Bytes of it were sent; it may have run. */
	REQ_SENT,
	/* The answer's head went to the caller. */
	REQ_RELAY,
	/* Answered or given up; the row goes with the next req_sweep(). */
	REQ_DONE,
};

/* A caller's request in flight. */
struct req_row {
	struct hnd caller;
	struct hnd link;
	/* Of the current attempt. */
	struct hnd server;
	enum req_state state;
	enum conf_request_kind kind;
	uint64_t service;
	uint32_t priority;
	/* Most backend servers that it is sent to. */
	uint32_t attempts;
	uint32_t connects_left;
	uint32_t sends;
	bool head_method;
	/* An attempt whose outcome is unknown; no "not run" afterwards. */
	bool may_have_run;
	/* This attempt tries an ejected server. */
	bool trial;
	/* The attempt has shown that its server takes work. */
	bool proved;
	/* The attempt was reported as stalled. */
	bool stalled;
	bool streaming;
	bool body_done;
	bool chunked;
	bool has_length;
	int64_t start_ns;
	int64_t retry_ns;
	int64_t connect_ns;
	int64_t sent_ns;
	/* The caller's deadline and the earlier of it and the timeout. */
	int64_t deadline_ns;
	int64_t limit_ns;
	int64_t objective_ns;
	uint64_t length;
	struct strbuf id;
	struct strbuf head;
	/* Host and path of an unrouted request, parted by a blank. */
	struct strbuf destination;
	struct strbuf body;
	uint64_t tried[EDGE_MAX_TRIED];
	uint32_t tried_count;
	/* Answer of an earlier attempt, used when a repeat fails. */
	struct strbuf spare;
	struct strbuf spare_body;
	int spare_status;
};

/* Servers that a report names. */
#define LOAD_MAX_COUNTS 24

/* Requests in flight of one VM, by server. */
struct load_report {
	uint32_t count;
	/* Tags of servers. */
	uint32_t servers[LOAD_MAX_COUNTS];
	uint32_t in_flight[LOAD_MAX_COUNTS];
};

enum mem_state {
	MEM_ALIVE,
	MEM_LEAVING,
};

/* Another VM of the fleet, or this one. */
struct mem_row {
	uint64_t key;
	uint64_t zone;
	uint64_t region;
	struct sockaddr_in peer;
	struct sockaddr_in callers;
	enum mem_state state;
	bool ready;
	/* Capacity of its network link. */
	uint32_t link_mbps;
	/* Distinguishes starts of a VM; larger is newer. */
	uint64_t incarnation;
	uint64_t beat;
	/* Last time this VM was known to be alive. */
	int64_t heard_ns;
	/* Its requests in flight, while the report counts. */
	struct load_report load;
	int64_t load_ns;
	/* Its requests and repeats by service, and when they were heard. */
	struct bud_report budget;
	int64_t budget_ns;
};

/* A service in another region, as its first VM described it. */
struct far_row {
	uint64_t region;
	uint64_t service;
	uint32_t in_flight;
	uint32_t slots;
	int64_t heard_ns;
};

struct edge_ops {
	/* Answers of the ready, directory and control listeners. */
	void (*local)(void *ctx, enum dia_listener port, const struct hreq *req,
		      struct dia_reply *reply);
	/* Starts reading configuration and servers from the store. */
	enum err (*start)(void *ctx);
	void (*stop)(void *ctx);
	void *ctx;
};

struct edge {
	struct eset set;
	struct ev ev;
	const struct dia_headers *dia;
	struct edge_ops ops;
	/* NULL until a version is known. */
	struct conf *conf;
	struct tab services;
	struct idx service_by_key;
	struct tab servers;
	/* Some server is missing or gone, and srv_tick() has work. */
	bool servers_ending;
	struct idx server_by_key;
	/* Short names for messages; a clash only blurs a hint. */
	struct idx server_by_tag;
	struct tab requests;
	struct tab callers;
	struct tab links;
	struct tab members;
	struct tab calls;
	struct tab far;
	/* By region and service. */
	struct idx far_by_key;
	struct idx member_by_key;
	int news_fd;
	uint64_t zone;
	uint64_t region;
	uint64_t self;
	uint64_t incarnation;
	uint64_t random_state;
	/* Servers of the store were read at least once. */
	bool servers_known;
	struct sync_state sync;
	/* Number of the complete reading in progress. */
	uint32_t read_mark;
	/* Since when readings of the store fail; 0 while they succeed. */
	int64_t store_lost_ns;
	/* End of the last outage; 0 for none. */
	int64_t store_back_ns;
	int64_t start_ns;
	/* Others were told that this VM is ready. */
	bool announced;
	bool leaving;
	int64_t leave_ns;
};

/* Key of a name: a zone, a region, a VM or a server; never 0. */
uint64_t edge_key(struct str name);
uint64_t edge_random(struct edge *e);
void edge_init_tables(struct edge *e);
void edge_free_tables(struct edge *e);
/* True while new requests of callers are served. */
bool edge_is_ready(const struct edge *e);
/* False in the last part of a planned stop. */
bool edge_takes_requests(const struct edge *e);
/* The configuration and the servers are known. */
bool edge_has_state(const struct edge *e);
/* Takes over a configuration unless one as new is in force; owns it. */
void edge_set_conf(struct edge *e, struct conf *conf);
/* The store answered or failed to. */
void edge_set_store(struct edge *e, bool up);
struct svc_row *edge_service(struct edge *e, uint64_t key);

#endif
