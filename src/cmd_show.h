#ifndef CMD_SHOW_H
#define CMD_SHOW_H

/* "currantpaddle bundle show"; returns an exit code of exits.h. */
int cmd_bundle_show(int argc, char **argv);

#endif
