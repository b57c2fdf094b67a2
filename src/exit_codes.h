#ifndef EXIT_CODES_H
#define EXIT_CODES_H

/* Exit codes of the command line; scripts of operators rely on the values. */
enum exits {
	EXITS_OK = 0,
	EXITS_FAILURE = 1,
	/* Invalid arguments, settings or bundle; nothing was changed. */
	EXITS_USAGE = 2,
	/* The fleet or the platform refused; nothing was changed. */
	EXITS_REFUSED = 3,
	EXITS_UNREACHABLE = 4,
	/* The change may or may not have taken effect. */
	EXITS_UNKNOWN = 5,
};

#endif
