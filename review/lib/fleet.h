/*
 * fleet: a small deployment for the cases of the review.
 *
 * Instances are processes of their own, started with the command of
 * deploy/system.toml.  The store and the workers are the project's stand-ins
 * of platform/standin, which run in the driver.  Between the instances and the
 * store stands a relay of the driver, which can serve a part of the
 * partitions only.
 */
#ifndef REVIEW_FLEET_H
#define REVIEW_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/types.h>

#include "platform/standin/standin.h"

#define FLEET_MAX 9

/* Decides whether the store refuses a call (503, nothing done) for now. */
typedef bool fleet_refuses(const char *path, const char *topic, int part);

/*
 * Returns the time after which the store does a write whose answer is lost,
 * or 0: it does and answers it.
 */
typedef clk_ms fleet_lateness(const char *topic, int part);

struct fleet {
	struct ev_loop *loop;
	struct clk clk;
	clk_ms begun;
	struct sstore *store;
	struct hsv *relay;
	struct hcp *relay_client;
	struct sockaddr_in relay_address;
	fleet_refuses *refuses; /* nil: the store serves all calls */
	unsigned refused; /* calls that the relay answered with 503 */
	fleet_lateness *lateness; /* nil: no answer is lost */
	GQueue late; /* writes whose answers are lost */
	struct sclient *client;
	struct hcp *public_client; /* callers without a key */
	unsigned count;
	struct {
		GPid pid; /* 0: it does not run */
		clk_ms start_at; /* when to start it again; 0: not planned */
		unsigned own_ends; /* it ended without a signal of the driver */
		bool is_ending; /* the driver has sent a signal to end */
	} instances[FLEET_MAX];
	char *directory;
	FILE *record;
	bool has_trouble; /* false with TROUBLE=0 */
};

/*
 * fleet_open(fleet, instances)
 *	Opens the store and the record.txt of the current directory's case,
 *	which the variable CASE_DIR names.
 * fleet_start(fleet): starts all instances; exits with 2 if one isn't ready.
 * fleet_run(fleet, time): runs the loop; restarts instances that have ended.
 * fleet_close(fleet): ends all processes and removes their settings.
 */
void fleet_open(struct fleet *fleet, unsigned instances);
void fleet_start(struct fleet *fleet);
void fleet_run(struct fleet *fleet, clk_ms time);
void fleet_close(struct fleet *fleet);

/* fleet_now(fleet): ms since fleet_open(). */
clk_ms fleet_now(const struct fleet *fleet);

/* fleet_note(fleet, format, ...): a line of record.txt, with the time. */
void
fleet_note(struct fleet *fleet, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* fleet_unable(fleet, why): ends the case with status 2. */
void fleet_unable(struct fleet *fleet, const char *why) G_GNUC_NORETURN;

/*
 * fleet_ask_public(fleet, address, path, fields, body)
 *	As sclient_ask(), for a caller that has no key.
 */
struct sanswer *fleet_ask_public(struct fleet *fleet,
    const struct sockaddr_in *address, const char *path, const char *fields,
    const char *body);

/* fleet_address(instance): where the instance takes callers. */
struct sockaddr_in fleet_address(unsigned instance);

#endif
