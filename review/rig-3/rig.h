/*
 * rig: what the cases of this review share: instances as processes of their
 * own, and the record of what was sent, answered and run.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/types.h>

#include "platform/standin/standin.h"

#define RIG_INSTANCES_MAX 9
/* Memory of a machine, as in the settings. */
#define RIG_MEMORY_MB 140

enum rig_verdict { RIG_HELD = 0, RIG_BROKEN = 1, RIG_NOT_RUN = 2 };

struct rig {
	struct ev_loop *loop;
	struct clk clk;
	clk_ms begun;
	FILE *record;
	char *directory;
	char *more_settings; /* lines added to each settings file; nil: none */
	unsigned instances;
	GPid pids[RIG_INSTANCES_MAX]; /* 0: it does not run */
	struct sstore *store;
	struct sclient *client;
	bool has_trouble;
	unsigned log_number;
	/* The platform's part, see rig_platform_tick(). */
	clk_ms checked;
	clk_ms start_at[RIG_INSTANCES_MAX]; /* 0: it runs */
	unsigned ends[RIG_INSTANCES_MAX];
	long most_kb[RIG_INSTANCES_MAX];
};

/*
 * rig_open(rig, instances): opens the loop, the store and the record.
 * rig_close(rig): ends the processes that were started.
 */
void rig_open(struct rig *rig, unsigned instances);
void rig_close(struct rig *rig);

/* rig_now(rig): ms since rig_open(). */
clk_ms rig_now(const struct rig *rig);

/* rig_say(rig, format, ...): a line in the record. */
void rig_say(struct rig *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* rig_start(rig, i): starts an instance.  rig_signal(): sends it a signal. */
void rig_start(struct rig *rig, unsigned i);
void rig_signal(struct rig *rig, unsigned i, int number);

/* rig_has_ended(rig, i, status): whether the process has ended by itself. */
bool rig_has_ended(struct rig *rig, unsigned i, int *status);

/* rig_wait_ready(rig): until all answer 200 at /readyz; false after 10 s. */
bool rig_wait_ready(struct rig *rig);

/*
 * rig_platform_tick(rig)
 *	Play the platform's part, five times a second: a process that exceeds
 *	the memory of its machine is killed, and started again after a short
 *	delay.  Bytes that it has received and not read count toward its
 *	memory.  Returns whether processes of two machines have ended three
 *	times.
 * rig_platform_report(rig): what was seen, in the record and on stdout.
 */
bool rig_platform_tick(struct rig *rig);
void rig_platform_report(struct rig *rig);

/* rig_files_max(files): raises the limit of descriptors; false: can't. */
bool rig_files_max(unsigned files);

/* The address at which an instance takes requests. */
struct sockaddr_in rig_front(const struct rig *rig, unsigned i);

#endif
