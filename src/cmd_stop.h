#ifndef CMD_STOP_H
#define CMD_STOP_H

/* "currantpaddle stop"; returns an exit code of exit_codes.h. */
int cmd_stop(int argc, char **argv);

#endif
