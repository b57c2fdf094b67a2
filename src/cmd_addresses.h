#ifndef CMD_ADDRESSES_H
#define CMD_ADDRESSES_H

/* "currantpaddle addresses"; returns an exit code of exit_codes.h. */
int cmd_addresses(int argc, char **argv);

#endif
