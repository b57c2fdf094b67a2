#include "error_code.h"

const char *err_name(enum err e)
{
	switch (e) {
	case ERR_OK:
		return "ok";
	case ERR_NOMEM:
		return "out of memory";
	case ERR_IO:
		return "input/output error";
	case ERR_INVALID:
		return "invalid";
	case ERR_NOT_FOUND:
		return "not found";
	case ERR_CONFLICT:
		return "conflict";
	case ERR_REFUSED:
		return "refused";
	case ERR_UNREACHABLE:
		return "unreachable";
	case ERR_TIMEOUT:
		return "timeout";
	case ERR_UNKNOWN:
		return "outcome unknown";
	}
	return "unnamed error";
}
