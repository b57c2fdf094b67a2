#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "arena.h"
#include "json_reader.h"
#include "signature.h"

#define SETT_MAX_SEEDS 64
#define SETT_MAX_TOKENS 32
#define SETT_MAX_BUNDLE_KEYS 16

/* Rights of a token of the administration API; a bit set. */
enum sett_right {
	SETT_RIGHT_READ = 1,
	SETT_RIGHT_SUBMIT = 2,
	SETT_RIGHT_STOP = 4,
};

/*
 * Outlier detection of backend servers. All methods but the first are baselines
 * that it is compared with.
 */
enum sett_detector {
	/* The allocator decides by the evidence of all VMs. */
	SETT_DETECT_SHARED,
	/* Each VM decides by its own evidence. */
	SETT_DETECT_UNSHARED,
	/* Each VM avoids a backend server after several errors in a row. */
	SETT_DETECT_CONSECUTIVE_ERRORS,
	SETT_DETECT_NONE,
};

struct sett_addr {
	struct str host;
	int64_t port;
};

struct sett_token {
	struct str name;
	struct str token;
	/* Bits of enum sett_right. */
	unsigned rights;
};

/* Settings of an entry VM. Optional ones that are absent have defaults. */
struct sett {
	/* Owns the strings. */
	struct arn arena;
	struct str id;
	struct str region;
	struct str zone;
	/* Group of entry VMs that share allocators; default: the region. */
	struct str cell;
	struct sett_addr caller;
	struct sett_addr admin;
	struct sett_addr peer;
	/* Where others reach this VM; default: the listening addresses. */
	struct sett_addr caller_advertise;
	struct sett_addr peer_advertise;
	/* CURVE key pair of the fleet in Z85; CURVE is off without it. */
	struct str peer_public_key;
	struct str peer_secret_key;
	struct sett_addr seeds[SETT_MAX_SEEDS];
	size_t seed_count;
	/* An empty host selects the in-process platform. */
	struct sett_addr platform;
	struct sett_token tokens[SETT_MAX_TOKENS];
	size_t token_count;
	/* GET /metrics needs no token. */
	bool metrics_open;
	/* Public keys whose signatures of bundles are accepted. */
	struct sig_public_key bundle_keys[SETT_MAX_BUNDLE_KEYS];
	size_t bundle_key_count;
	/* Signatures by different keys that a bundle must have. */
	int64_t signatures_needed;
	/* Signed bundle that is loaded at the start; optional. */
	struct str bundle_file;
	/* enum logs_level */
	int64_t log_level;
	bool log_decisions;
	/* enum sett_detector */
	int64_t detector;
	/* Worker threads, each of which serves one caller connection. */
	int64_t caller_threads;
	/* How long callers may use a list of addresses. */
	int64_t address_ttl_ns;
};

/*
 * Reads and validates a settings file. On failure, errors gets one line for
 * each error. sett_free() must be called in any case.
 */
enum err sett_load(struct sett *s, struct str file, struct strbuf *errors);
/* The same for a text; file is its name in error lines. */
enum err sett_parse(struct sett *s, struct str file, struct str text,
		    struct strbuf *errors);
void sett_free(struct sett *s);

#endif
