#ifndef ADMIN_STOP_REQUEST_H
#define ADMIN_STOP_REQUEST_H

#include <stdbool.h>

#include "error_code.h"
#include "counted_string.h"

struct json_object;

/*
 * Body of POST /v1/stop: names either a VM, or a service and one of its backend
 * servers.
 */
struct stop_request {
	/* Owns the memory of the strings. */
	struct json_object *root;
	struct str vm;
	struct str service;
	struct str backend;
	/* Ends the drain of the backend server instead of starting it. */
	bool undo;
};

/*
 * ERR_INVALID unless text is exactly one JSON object that names one target and
 * has members of the right types. The caller must call stop_request_free() in
 * every case.
 */
enum err stop_request_parse(struct stop_request *s, struct str text);
void stop_request_free(struct stop_request *s);

#endif
