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

/* The address at which an instance takes requests. */
struct sockaddr_in rig_front(const struct rig *rig, unsigned i);

#endif
