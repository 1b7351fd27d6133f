/*
 * daemon: the daemon, which wires the modules to one event loop.
 */
#ifndef SAMPHIRESHED_DAEMON_H
#define SAMPHIRESHED_DAEMON_H

struct settings;

/*
 * daemon_run(set)
 *	Run an instance with the given settings until a planned stop is complete
 *	or a second signal ends it.
 * RETURN VALUES
 *	The exit status of the process: 0 after a planned stop, 1 otherwise.
 */
int daemon_run(const struct settings *set);

#endif
