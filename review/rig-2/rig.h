/*
 * rig: a small deployment for the cases of the second review.
 *
 * Instances are the program of the deploy file, as processes of their own.
 * The store and the workers are the project's stand-ins, on the rig's loop.
 * Everything is on loopback addresses and the real clock.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "platform/standin/standin.h"

#define RIG_INSTANCES_MAX 9
/* The bound stable_ms of the settings. */
#define RIG_STABLE_MS 3000

struct rig {
	struct ev_loop *loop;
	struct sstore *store;
	struct sclient *client;
	char *directory; /* settings and logs of the instances */
	unsigned count; /* of instances */
	unsigned memory_mb; /* of their machines, in the settings; at first 140 */
	GPid pids[RIG_INSTANCES_MAX];
	/* A store of its own, set before rig_start(); port 0: the rig's. */
	struct sockaddr_in other_store;
	GPid other_store_pid;
	unsigned ended; /* instances that ended by themselves */
	bool is_troubled; /* false with TROUBLE=0 */
	FILE *record;
	clk_ms began;
};

/*
 * rig_open(rig, argc, argv)
 *	Read TROUBLE, open the record file argv[1] and the store.
 * rig_start(rig, count)
 *	Start instances, and wait until they are ready.
 * rig_close(rig, is_broken, reason)
 *	End all processes and exit, with 1 if the rule was broken, else with 0.
 * rig_fail(rig, reason)
 *	The same, with 2: the case could not run.
 */
void rig_open(struct rig *rig, int argc, char **argv);
void rig_start(struct rig *rig, unsigned count);
_Noreturn void rig_close(struct rig *rig, bool is_broken, const char *reason);
_Noreturn void rig_fail(struct rig *rig, const char *reason);

/*
 * rig_memory_peak(rig, i)
 *	Return the most memory that instance i has had, in KiB (VmHWM).
 */
long rig_memory_peak(const struct rig *rig, unsigned i);

void rig_instance_start(struct rig *rig, unsigned i);
void rig_instance_wait_ready(struct rig *rig, unsigned i);
void rig_instance_kill(struct rig *rig, unsigned i);

/* rig_note(rig, format): write a line to the record, with the time in s. */
void rig_note(struct rig *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);

clk_ms rig_now(void);

/* rig_run(rig, time): run the loop; count instances that end meanwhile. */
void rig_run(struct rig *rig, clk_ms time);

/*
 * rig_configure(rig, text)
 *	Write the operator's configuration.  The stand-in acknowledges at once.
 */
void rig_configure(struct rig *rig, const char *text);

/* rig_worker(rig, id, service, slots): start a worker and its entry. */
struct sworker *rig_worker(
    struct rig *rig, const char *id, const char *service, unsigned slots);

/* ---- Callers ---- */

/* An answer; status 0: the connection ended without one. */
struct rig_answer {
	int status;
	bool is_whole;
	char *body;
};

/*
 * rig_ask(rig, i, method, path, fields, body)
 *	Send a request with the key "ka" to the host "h" at instance i, wait for
 *	the end of the answer and note both.
 */
struct rig_answer rig_ask(struct rig *rig, unsigned i, const char *method,
    const char *path, const char *fields, const char *body);

/* A caller with a connection of its own, which may be kept or sent ahead on. */
struct rig_caller {
	int fd;
	GString *received; /* of the answers */
	bool has_ended; /* closed or reset by the instance */
};

/*
 * rig_caller_open(rig, i), rig_caller_close(caller)
 *	Connect to instance i; close the connection.
 * rig_caller_send(rig, caller, bytes, len)
 *	Send all bytes, while the loop runs.
 * rig_caller_read(caller)
 *	Read what has arrived.
 * rig_caller_wait(rig, caller, until)
 *	Read until there is a whole answer with a length; returns its status and
 *	removes it from what was received, or 0 if the connection or the time
 *	ended first.
 */
struct rig_caller *rig_caller_open(struct rig *rig, unsigned i);
void rig_caller_close(struct rig_caller *caller);
void rig_caller_send(struct rig *rig, struct rig_caller *caller,
    const char *bytes, size_t len);
void rig_caller_read(struct rig_caller *caller);
int rig_caller_wait(
    struct rig *rig, struct rig_caller *caller, clk_ms until);

#endif
