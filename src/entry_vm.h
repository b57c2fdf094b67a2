#ifndef ENTRY_VM_H
#define ENTRY_VM_H

#include "counted_string.h"

/*
 * Runs an entry VM: reads the settings, starts the threads and runs the event
 * loop of the core thread. Returns the exit code of the process after SIGTERM,
 * SIGINT or a planned stop.
 */
int entry_run(struct str settings_file);

#endif
