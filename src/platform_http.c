#include "platform_http.h"

#include <json-c/json.h>
#include <stdlib.h>

#include "http_client.h"
#include "timer.h"

#define CALL_TIMEOUT_NS (2 * NS_PER_S)
/* Longer lists of VMs are rejected. */
#define MAX_VMS 65536

struct plat_http {
	struct hcl client;
	struct hcl_response response;
	char vm_id[64];
	/* Own the memory of the views in the last reply. */
	struct json_object *json;
	struct core_vm_listed *vms;
	struct strbuf target;
	struct strbuf headers;
	struct strbuf body;
};

/* Reads a row {"value": "..."}, whose version is the ETag. */
static enum err read_row(struct plat_http *h, struct core_plat_reply *out)
{
	struct json_object *value;
	struct str text = strbuf_view(&h->response.body);
	struct str tag = hcl_header(&h->response, STR("etag"));

	if (tag.len > 2 && tag.ptr[0] == '"')
		tag = (struct str){tag.ptr + 1, tag.len - 2};
	if (!str_parse_u64(tag, &out->version) || !text.len)
		return ERR_UNKNOWN;
	h->json = json_tokener_parse(strbuf_cstr(&h->response.body));
	if (!json_object_is_type(h->json, json_type_object) ||
	    !json_object_object_get_ex(h->json, "value", &value) ||
	    !json_object_is_type(value, json_type_string))
		return ERR_UNKNOWN;
	out->value.ptr = json_object_get_string(value);
	out->value.len = (size_t)json_object_get_string_len(value);
	return ERR_OK;
}

static enum err read_etag(struct plat_http *h, struct core_plat_reply *out)
{
	struct str tag = hcl_header(&h->response, STR("etag"));

	if (tag.len > 2 && tag.ptr[0] == '"')
		tag = (struct str){tag.ptr + 1, tag.len - 2};
	return str_parse_u64(tag, &out->version) ? ERR_OK : ERR_UNKNOWN;
}

static enum err read_vms(struct plat_http *h, struct core_plat_reply *out)
{
	size_t i, n;

	h->json = json_tokener_parse(strbuf_cstr(&h->response.body));
	if (!json_object_is_type(h->json, json_type_array))
		return ERR_UNKNOWN;
	n = json_object_array_length(h->json);
	if (n > MAX_VMS)
		return ERR_UNKNOWN;
	h->vms = calloc(n + 1, sizeof(*h->vms));
	if (!h->vms)
		abort();
	for (i = 0; i < n; i++) {
		struct json_object *vm = json_object_array_get_idx(h->json, i);
		struct json_object *id, *state;

		if (!json_object_object_get_ex(vm, "id", &id) ||
		    !json_object_is_type(id, json_type_string) ||
		    !json_object_object_get_ex(vm, "state", &state))
			return ERR_UNKNOWN;
		h->vms[i].id = str_from(json_object_get_string(id));
		h->vms[i].leaving =
			str_eq(str_from(json_object_get_string(state)),
			       STR("leaving"));
	}
	out->vms = h->vms;
	out->vm_count = (uint32_t)n;
	return ERR_OK;
}

/* Appends {"NAME": "VALUE"}. */
static void add_json_object(struct strbuf *out, const char *name,
			    struct str value)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
		o, name,
		json_object_new_string_len(value.ptr ? value.ptr : "",
					   (int)value.len));
	strbuf_add(out, str_from(json_object_to_json_string_ext(
				o, JSON_C_TO_STRING_PLAIN)));
	json_object_put(o);
}

/* Fills target, headers and body; returns the HTTP method. */
static const char *build_request(struct plat_http *h,
				 const struct core_plat_call *call)
{
	strbuf_reset(&h->target);
	strbuf_reset(&h->headers);
	strbuf_reset(&h->body);
	switch (call->op) {
	case CORE_PLAT_GET:
	case CORE_PLAT_CAS:
		strbuf_add(&h->target, STR("/table/"));
		break;
	case CORE_PLAT_GET_OBJECT:
	case CORE_PLAT_PUT_OBJECT:
		strbuf_add(&h->target, STR("/object/"));
		break;
	case CORE_PLAT_LIST:
		strbuf_add(&h->target, STR("/vms"));
		return "GET";
	case CORE_PLAT_PUT_VM:
		strbuf_add(&h->target, STR("/vms/"));
		hcl_add_percent_encoded(&h->target,
					call->key.len ? call->key
						      : str_from(h->vm_id));
		add_json_object(&h->body, "state", call->value);
		return "PUT";
	}
	hcl_add_percent_encoded(&h->target, call->key);
	if (call->op == CORE_PLAT_GET || call->op == CORE_PLAT_GET_OBJECT)
		return "GET";
	if (call->op == CORE_PLAT_PUT_OBJECT) {
		strbuf_add(&h->body, call->value);
		return "PUT";
	}
	if (call->expect)
		strbuf_addf(&h->headers, "If-Match: \"%llu\"\r\n",
			    (unsigned long long)call->expect);
	else
		strbuf_add(&h->headers, STR("If-None-Match: *\r\n"));
	add_json_object(&h->body, "value", call->value);
	return "PUT";
}

static enum err read_reply(struct plat_http *h, enum core_plat_op op,
			   struct core_plat_reply *out)
{
	int status = h->response.status;

	if (status == 404 && (op == CORE_PLAT_GET || op == CORE_PLAT_CAS ||
			      op == CORE_PLAT_GET_OBJECT))
		return op == CORE_PLAT_CAS ? ERR_CONFLICT : ERR_NOT_FOUND;
	if (status == 412 && op == CORE_PLAT_CAS) {
		/* The response need not contain the current row. */
		if (read_row(h, out)) {
			out->value = STR_NONE;
			out->version = 0;
		}
		return ERR_CONFLICT;
	}
	if (status / 100 != 2)
		return ERR_UNKNOWN;
	switch (op) {
	case CORE_PLAT_GET:
		return read_row(h, out);
	case CORE_PLAT_CAS:
		return read_etag(h, out);
	case CORE_PLAT_GET_OBJECT:
		out->value = strbuf_view(&h->response.body);
		return ERR_OK;
	case CORE_PLAT_LIST:
		return read_vms(h, out);
	case CORE_PLAT_PUT_OBJECT:
	case CORE_PLAT_PUT_VM:
		break;
	}
	return ERR_OK;
}

static void free_reply(struct plat_http *h)
{
	json_object_put(h->json);
	h->json = NULL;
	free(h->vms);
	h->vms = NULL;
}

static void call(void *ctx, const struct core_plat_call *c,
		 struct core_plat_reply *reply)
{
	struct plat_http *h = ctx;
	struct hcl_request request = {.method = build_request(h, c)};
	enum err e;

	free_reply(h);
	request.target = strbuf_view(&h->target);
	request.headers = strbuf_view(&h->headers);
	request.body = strbuf_view(&h->body);
	e = hcl_call(&h->client, &request, &h->response);
	reply->err = (int)(e ? e : read_reply(h, c->op, reply));
}

static void close_driver(void *ctx)
{
	struct plat_http *h = ctx;

	free_reply(h);
	hcl_free(&h->client);
	hcl_response_free(&h->response);
	strbuf_free(&h->target);
	strbuf_free(&h->headers);
	strbuf_free(&h->body);
	free(h);
}

enum err plat_http_open(struct plat_driver *out, struct str host, uint16_t port,
			struct str vm_id)
{
	struct plat_http *h = calloc(1, sizeof(*h));

	if (!h)
		return ERR_NOMEM;
	hcl_init(&h->client, host, port, CALL_TIMEOUT_NS);
	hcl_response_init(&h->response);
	str_copy(h->vm_id, sizeof(h->vm_id), vm_id);
	strbuf_init(&h->target);
	strbuf_init(&h->headers);
	strbuf_init(&h->body);
	out->call = call;
	out->close = close_driver;
	out->ctx = h;
	return ERR_OK;
}
