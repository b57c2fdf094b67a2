#ifndef CMD_SUBMIT_H
#define CMD_SUBMIT_H

/* "currantpaddle bundle submit"; returns an exit code of exits.h. */
int cmd_bundle_submit(int argc, char **argv);

#endif
