#ifndef EDGE_H
#define EDGE_H

#include <netinet/in.h>
#include <sys/stat.h>

#include "edge_config.h"
#include "header_names.h"
#include "edge_settings.h"
#include "event_loop.h"
#include "fair_queue.h"
#include "overload_queue.h"
#include "memory_account.h"
#include "store_availability.h"
#include "store_era.h"
#include "sync_ops.h"
#include "team_key.h"
#include "team_quota.h"
#include "work_estimate.h"

#define EDGE_ID_BYTES 72
/* Backend servers that a request remembers as tried. */
#define EDGE_MAX_TRIED 6

/*
 * Tables of an edge process. Each struct whose name ends in _row is a row; the
 * modules are the systems that read and write it.
 * Zones, regions, VMs, services and backend servers are identified by their
 * key, the hash of their name or id. "Remote" stands for another region, "peer"
 * for another VM of the same region.
 */

/* Buckets of a retry budget's sliding window, the current one included: half
 * a second each for a window of 10 s. */
#define BUD_BUCKETS 21
/* Services in one report of the retry budget. */
#define BUD_MAX_SERVICES 16

/* Counts of one VM for a service. */
struct bud_count {
	uint64_t service;
	/* Within the window of the retry budget. */
	uint32_t requests;
	uint32_t retries;
	/* Within the last few seconds; a request fails when no backend server
	 * sends a successful response. */
	uint32_t recent_requests;
	uint32_t recent_failures;
	/* Retries of the window by VMs that have ended or are silent, as far
	 * as this VM knows. */
	uint32_t lost_retries;
};

/* Counts that a VM sends to its peers. */
struct bud_report {
	/* The VM has heard its peers for a whole window. */
	bool whole_window;
	uint32_t count;
	struct bud_count counts[BUD_MAX_SERVICES];
};

/* A service, with the window of its retry budget. */
struct svc_row {
	uint64_t key;
	struct str name;
	/* Head of the list of its servers, linked by srv_row.next; see
	 * srv_first(). */
	struct hnd first_server;
	/* Counts of this VM; the current bucket is the first. */
	uint32_t requests[BUD_BUCKETS];
	uint32_t retries[BUD_BUCKETS];
	uint32_t failures[BUD_BUCKETS];
	/* Start of the current bucket. */
	int64_t bucket_start_ns;
	/* Retries since the last report to the peers. */
	uint32_t unreported_retries;
	/* Priority of the most urgent requests of this VM of a window, and when
	 * the last one of them arrived; 0 for never. */
	uint32_t urgent_priority;
	int64_t urgent_ns;
	/* Requests that may be repeated, of this VM: decaying count as of
	 * safe_count_ns. */
	double safe_count;
	int64_t safe_count_ns;
	/* Moving average of the time to a complete response. */
	int64_t mean_latency_ns;
	/* The waiting requests are to be checked for free slots. */
	bool queue_wake;
};

/* State of a backend server, as the store holds it. */
struct srv_report {
	struct str id;
	uint64_t service;
	uint64_t zone;
	struct sockaddr_in addr;
	uint32_t slots;
	bool draining;
	/* Sequence number in the row; passed on, but not used. */
	uint64_t seq;
	/* Start of the server's process, in Unix milliseconds; identifies its
	 * incarnation. */
	int64_t start_time_ms;
	/* Rest of the server's slow start. */
	int64_t slow_start_left_ns;
	/* Version of the row in the store; larger is newer. */
	uint64_t version;
};

/* A change of the store's table of servers: a server's new row, or that the
 * server is no longer listed. */
struct srv_change {
	struct srv_report report;
	/* The store no longer lists the server. */
	bool missing;
	/* Copy of report.id for a change that is kept. */
	char id[EDGE_ID_BYTES];
};

/* Changes that fit one change notice. */
#define SYNC_MAX_NOTICE_CHANGES 15
/* Changes that a reader of the store keeps for its notices. */
#define SYNC_MAX_KEPT_CHANGES 512
/* Reads whose changes a notice holds: the last one and those before it, so that
 * the loss of one datagram leaves no gap. */
#define SYNC_REPEATED_READS 3

/* Changes that this VM read from the store, ordered by version. */
struct sync_changes {
	struct srv_change changes[SYNC_MAX_KEPT_CHANGES];
	uint32_t count;
	/* The changes are complete after this version. */
	uint64_t from;
	/* Versions after which the last reads asked for changes, newest
	 * first. */
	uint64_t recent_read_after[SYNC_REPEATED_READS];
};

/* A fetch of a part from a peer. */
struct sync_fetch {
	/* Client connection; see state_fetch.h. */
	struct hnd call;
	bool running;
	int64_t started_ns;
	/* The next attempt; HND_NONE for none. */
	struct hnd timer;
	/* VM whose message has shown that the part is needed. */
	uint64_t announced_by;
	/* Failed attempts in a row. */
	uint32_t failures;
};

/* Replication of the store's tables to this VM; see store_sync.h. */
struct sync_state {
	struct sync_store_ops store;
	struct sync_peer_ops peers;
	/* Newest era of the store that this VM has heard, from the store or
	 * from another VM. */
	uint64_t era;
	/* Servers that the new era does not list are kept until then. */
	int64_t era_registered_ns;
	/* Versions of the store, of this era, that this VM's tables reflect; 0
	 * if they are of an earlier one. */
	uint64_t config_version;
	uint64_t servers_version;
	/* When this VM last read the store, received a notice or fetched the
	 * state of a peer. */
	int64_t last_update_ns;
	struct hnd timer;
	bool reading_config;
	/* This VM long-polls for changes of the configuration. */
	bool config_reader;
	/* Rank of the VM that reads the servers and sends notices of them, this
	 * one included; time of its last notice. */
	uint32_t notice_rank;
	int64_t notice_rank_ns;
	bool reading_servers;
	/* The current or last read of the servers asked for the changes after
	 * this version; 0 for a read of all rows. */
	uint64_t read_after;
	bool config_failing;
	bool servers_failing;
	int64_t config_backoff_ns;
	int64_t servers_backoff_ns;
	/* Earliest retry of a failed read of the configuration. */
	int64_t config_retry_ns;
	/* Last version of the configuration that notices announced. */
	struct era_version announced_config;
	/* Repeated notices of a new configuration that are still to be sent. */
	uint32_t config_notices_left;
	struct sync_fetch fetches[SYNC_PARTS];
	/* The state could not be fetched: the next poll reads the store. */
	bool fetch_failed;
	/* When this VM's link will have carried the parts that it has sent to
	 * peers. */
	int64_t serve_done_ns;
	struct sync_changes changes;
};

enum srv_state {
	SRV_READY,
	SRV_DRAINING,
	/* No longer listed, or replaced by another server at its address; the
	 * row is kept until its last request and connection have ended, and as
	 * long as what the server said of itself holds. */
	SRV_GONE,
};

/* A backend server. Its health is reset when a new incarnation is reported. */
struct srv_row {
	char id[EDGE_ID_BYTES];
	uint64_t key;
	uint64_t service;
	/* Doubly linked list of the servers of the service. */
	struct hnd next;
	struct hnd prev;
	uint64_t zone;
	uint64_t region;
	struct sockaddr_in addr;
	uint32_t slots;
	enum srv_state state;
	int64_t start_time_ms;
	uint64_t seq;
	uint64_t version;
	/* Changes when the row stands for another process or address: a
	 * connection or an attempt belongs to one value. */
	uint32_t generation;
	/* The incarnation that started at leaving_start_ms said in a response
	 * that it is leaving; see srv_set_leaving(). */
	bool said_leaving;
	int64_t leaving_start_ms;
	int64_t slow_start_until_ns;
	/* When this VM discovered the incarnation. */
	int64_t discovered_ns;
	/* The store does not list it any more. It becomes SRV_GONE once it
	 * would have registered again if its row had expired in an outage. */
	bool missing;
	/* It is gone, but the store has returned from a copy that lists it. */
	bool listed_by_copy;
	/* A row in SRV_GONE is kept until then. */
	int64_t delete_ns;
	/* Requests and idle connections of this VM. */
	uint32_t in_flight;
	uint32_t idle_connections;
	/* Requests of the peers, as they reported them. */
	uint32_t peers_in_flight;
	/* Completions that the requests in flight should have brought since the
	 * last one, at owed_ns; see backend_progress.h. */
	double owed;
	int64_t owed_ns;
	/* Last known response to a request of this region; 0 for none. */
	int64_t last_completed_ns;
	/* Requests of peers that failed and are still in their reports. */
	uint32_t peers_failed;
	/* Ejected by the VMs of its own region; set for servers of other
	 * regions only. */
	bool ejected_remotely;
	/* It gets no requests before this time, as it was at capacity or
	 * unreachable. */
	int64_t full_until_ns;
	/* Until then it wants no requests of this VM, not even trials; its
	 * slots do not count as capacity. */
	int64_t paused_until_ns;
	/* The path from this VM to the server is taken to be down until then;
	 * failures of the path since the last response. */
	int64_t path_down_until_ns;
	uint32_t path_failures;
	/* Ejected from regular traffic by outlier detection; gets trial
	 * requests only. */
	bool ejected;
	int64_t ejected_ns;
	int64_t next_trial_ns;
	int64_t last_trial_ns;
	/* When the server last accepted a request without a failure; 0 for
	 * never. */
	int64_t last_accepted_ns;
	/* Consecutive trials that succeeded, or that failed. */
	uint32_t trial_successes;
	uint32_t trial_failures;
	/* Failure score at score_ns; decays exponentially. */
	double score;
	int64_t score_ns;
	/* Number of the last full read that had begun when this server was
	 * listed. */
	uint32_t read_generation;
};

enum req_state {
	/* Waits for the first configuration of a VM that has just started. */
	REQ_UNROUTED,
	/* The body is being received from the caller. */
	REQ_RECEIVING,
	/* Waits for a backend server with free capacity. */
	REQ_QUEUED,
	/* Its connection to the backend server is being established. */
	REQ_CONNECTING,
	/* Sent at least in part; the backend server may execute it. */
	REQ_SENT,
	/* The head of the response was sent to the caller; the body follows. */
	REQ_RELAYING,
	/* Responded to or cancelled; req_sweep() removes the row. */
	REQ_DONE,
};

/* A caller's request in flight. */
struct req_row {
	/* Connection to the caller. */
	struct hnd caller;
	/* Connection and backend server of the current attempt. */
	struct hnd backend_conn;
	struct hnd server;
	/* Generation of the server when it was chosen. */
	uint32_t server_generation;
	enum req_state state;
	enum conf_request_kind kind;
	uint64_t service;
	/* Hash of the route's host and prefix; 0 before it is routed. */
	uint64_t route;
	/* Of the route. */
	uint32_t priority;
	/* conf_team.key of the caller's team; 0 for none. */
	uint64_t team;
	/* Goes before the priority of the route if there is a team. */
	uint32_t team_priority;
	/* When it was counted for the team's quota; 0 if it is not. */
	int64_t quota_ns;
	/* Retry-After of a refusal beyond the quota. */
	int64_t retry_after_ns;
	/* A server got a part of it, and has not rejected it as not run. */
	bool may_be_running;
	/* Until an unrouted request is routed. */
	struct tkey_credential credential;
	/* Fields that identify a team were left out of the head. */
	bool has_team_fields;
	/* Maximum number of backend servers that it is sent to. */
	uint32_t max_attempts;
	uint32_t connect_attempts_left;
	/* Times that it was sent to a backend server. */
	uint32_t sends;
	/* The method is HEAD. */
	bool head_method;
	/* A backend server may have run it; from then on no response may say
	 * that it was not run. */
	bool may_have_run;
	/* The current attempt is a trial of its server. */
	bool trial;
	/* The server of the current attempt has accepted the request. */
	bool accepted;
	/* The current attempt was found slow, and the request went on
	 * waiting. */
	bool slow_checked;
	/* The current attempt was reported as stalled. */
	bool stall_reported;
	/* The body is forwarded as it arrives; rules out a retry. */
	bool streaming;
	/* The whole body was received. */
	bool body_done;
	bool chunked;
	bool has_length;
	int64_t start_ns;
	/* See struct pick; from the last choice of a server. */
	int64_t servers_busy_until_ns;
	/* When the requests that wait for a service of which this is one check
	 * again for capacity. */
	int64_t recheck_ns;
	/* When it began to wait for a slot; 0 if it did not. */
	int64_t queued_ns;
	/* Servers may take requests, but have no free slot for it. */
	bool awaits_slot;
	/* Expected time until those before it have got a slot. */
	int64_t queue_wait_ns;
	/* Start of the current attempt. */
	int64_t connect_ns;
	/* When the request began to be sent in the current attempt. */
	int64_t sent_ns;
	/* Deadline of the caller. */
	int64_t deadline_ns;
	/* The deadline or the timeout of the route, whichever is earlier. */
	int64_t expires_ns;
	/* Latency objective of the route; 0 for none. */
	int64_t objective_ns;
	/* Content-Length. */
	uint64_t length;
	/* Bytes of the body that were received. */
	uint64_t body_bytes;
	struct strbuf id;
	struct strbuf head;
	/* Host and path of an unrouted request, separated by a space. */
	struct strbuf destination;
	struct strbuf body;
	/* Keys of the servers that it was sent to. */
	uint64_t tried[EDGE_MAX_TRIED];
	uint32_t tried_count;
	/* Error response of an earlier attempt, for the caller if the retry
	 * fails. */
	struct strbuf fallback_fields;
	struct strbuf fallback_body;
	int fallback_status;
};

/* Servers in a load report, and services in the summary of a region. */
#define LOAD_MAX_ENTRIES 24

/* Requests in flight of one VM, by server. */
struct load_report {
	uint32_t count;
	/* See srv_short_key(). */
	uint32_t servers[LOAD_MAX_ENTRIES];
	uint32_t in_flight[LOAD_MAX_ENTRIES];
};

enum vm_state {
	VM_ACTIVE,
	VM_LEAVING,
};

/* An edge VM of the fleet: another one, or this one. */
struct vm_row {
	uint64_t key;
	uint64_t zone;
	uint64_t region;
	/* Address for messages between VMs. */
	struct sockaddr_in message_addr;
	/* Address at which callers are served. */
	struct sockaddr_in callers_addr;
	enum vm_state state;
	bool ready;
	/* Capacity of its network link. */
	uint32_t link_mbps;
	/* Start of the VM's process; larger is newer. */
	uint64_t incarnation;
	/* Counter that the VM increments each time it sends its record. */
	uint64_t heartbeat;
	/* The configuration in its last message; version 0 for none. */
	struct era_version config;
	/* When the VM was last known to be alive. */
	int64_t last_seen_ns;
	/* Last load report, and when it was received; emptied when it
	 * expires. In the row of this VM: the last report that it sent. */
	struct load_report load;
	int64_t load_report_ns;
	/* Last report of the retry budget, and when it was received; the row
	 * of this VM has the time only, of the last report that it sent. */
	struct bud_report budget;
	int64_t budget_report_ns;
	/* The process that sent it, and the counts of those before. */
	uint64_t budget_incarnation;
	struct bud_report former_budget;
	int64_t former_budget_ns;
};

/* Load of a service in another region, from that region's summary. */
struct region_service_row {
	uint64_t region;
	uint64_t service;
	uint32_t in_flight;
	uint32_t slots;
	int64_t received_ns;
};

struct edge_ops {
	/* Handles a request to the ready or directory listener. */
	void (*handle_request)(void *ctx, enum edge_listener listener,
			       const struct hreq *req,
			       struct edge_response *resp);
	/* Starts reading configuration and servers from the store. */
	enum err (*start)(void *ctx);
	void (*stop)(void *ctx);
	void *ctx;
};

struct edge {
	struct eset settings;
	/* The file that holds them, and its status when it was last read. */
	struct str settings_file;
	struct stat settings_status;
	struct ev ev;
	const struct hdr_names *headers;
	struct edge_ops ops;
	/* NULL until a configuration is known. */
	struct conf *conf;
	/* Configuration that is held back, see era_judge_config(); NULL for
	 * none. Since when. */
	struct conf *held_conf;
	int64_t held_conf_ns;
	struct tab services;
	struct idx service_by_key;
	struct tab servers;
	/* A server is missing, or is gone and still in use; srv_tick() is to
	 * remove it. */
	bool server_removal_pending;
	/* When the row of a server that is gone may be deleted; TMR_NEVER for
	 * none. */
	int64_t server_delete_ns;
	struct idx server_by_key;
	/* By srv_short_key(). When two servers share one, load reports count
	 * for only one of them, which affects nothing but the choice of
	 * servers. */
	struct idx server_by_short_key;
	struct tab requests;
	/* Requests that wait for a slot are to be checked, of the services with
	 * svc_row.queue_wake; and room for the entries of one service. */
	bool queue_wake;
	struct ovlq_entry *waiting;
	uint32_t waiting_cap;
	struct fairq fair;
	struct work work;
	/* Connections of callers. */
	struct tab caller_conns;
	/* One of them may hold a further request; see cconn_tick(). */
	bool caller_input_pending;
	/* Bytes held for callers, and whether reading from some of them is
	 * paused because of it. */
	struct macc memory;
	bool reading_paused_for_memory;
	/* Callers' connections are accepted while fewer descriptors than this
	 * are open; the listener is paused otherwise. */
	uint32_t accept_below;
	bool accepting_paused;
	/* Reading of some body is paused. */
	bool caller_body_paused;
	/* Connections to backend servers. */
	struct tab backend_conns;
	struct tab vms;
	/* Calls to the store and to other VMs. */
	struct tab calls;
	struct tab region_services;
	/* Quotas of teams. */
	struct quota quota;
	/* This VM knows the retries that VMs sent before it started. */
	bool budget_known;
	/* Last load report to the VMs of this zone, which get more reports
	 * than the others, and when all were last due to get one. The row of
	 * this VM holds the last report to all. */
	struct load_report zone_load;
	int64_t zone_load_ns;
	int64_t region_report_ns;
	/* By region and service. */
	struct idx region_service_by_key;
	struct idx vm_by_key;
	/* Socket for messages between VMs. */
	int message_fd;
	/* Keys of this VM's zone, of its region and of its id. */
	uint64_t zone;
	uint64_t region;
	uint64_t self;
	uint64_t incarnation;
	uint64_t random_state;
	/* The table of servers was read or received at least once. */
	bool servers_known;
	struct sync_state sync;
	/* Number of the last full read of the servers that has begun. */
	uint32_t read_generation;
	struct avail_state store;
	int64_t start_ns;
	/* The other VMs were notified that this VM is ready. */
	bool ready_announced;
	/* Graceful stop: since leave_ns; when there was work for the last time.
	 */
	bool leaving;
	int64_t leave_ns;
	int64_t last_work_ns;
};

/* Hash of the name of a zone, region, VM or backend server; never 0. */
uint64_t edge_key(struct str name);
uint64_t edge_random(struct edge *e);
void edge_init_tables(struct edge *e);
void edge_free_tables(struct edge *e);
/* True when the addresses for callers should include this VM: it has state and
 * is not leaving. */
bool edge_is_ready(const struct edge *e);
/* True when both the configuration and the servers are known. */
bool edge_has_state(const struct edge *e);
/* Takes ownership of conf; puts it in force if it is newer than the current
 * one, holds it back as era_judge_config() says, and frees it otherwise. */
void edge_set_conf(struct edge *e, struct conf *conf);
/* Puts a configuration in force that has been held back long enough. */
void edge_end_hold(struct edge *e);
/* The configuration in force, and the newest one known, which may be held
 * back; version 0 for none. */
struct era_version edge_conf_in_force(const struct edge *e);
struct era_version edge_conf_newest(const struct edge *e);
/* Row of a service; added if there is none. */
struct svc_row *edge_service(struct edge *e, uint64_t key);

#endif
