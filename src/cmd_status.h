#ifndef CMD_STATUS_H
#define CMD_STATUS_H

/* "currantpaddle status"; returns an exit code of exit_codes.h. */
int cmd_status(int argc, char **argv);

#endif
