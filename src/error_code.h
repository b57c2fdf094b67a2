#ifndef ERROR_CODE_H
#define ERROR_CODE_H

/* Result codes. Functions that can fail return one of these. */
enum err {
	ERR_OK = 0,
	ERR_NOMEM,
	ERR_IO,
	/* Malformed input, or values outside their bounds. */
	ERR_INVALID,
	ERR_NOT_FOUND,
	ERR_CONFLICT,
	ERR_REFUSED,
	ERR_UNREACHABLE,
	ERR_TIMEOUT,
	/* The call may or may not have taken effect. */
	ERR_UNKNOWN,
};

/*
 * Returns a static text in lower case. Operators see these texts, also in
 * responses of the administration API.
 */
const char *err_name(enum err e);

#endif
