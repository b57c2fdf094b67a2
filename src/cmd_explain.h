#ifndef CMD_EXPLAIN_H
#define CMD_EXPLAIN_H

/* "currantpaddle explain"; returns an exit code of exit_codes.h. */
int cmd_explain(int argc, char **argv);

#endif
