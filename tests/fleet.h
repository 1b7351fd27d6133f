/*
 * fleet: a small fleet of real processes for integration tests.
 *
 * Instances and stand-ins run as child processes on loopback addresses.  The
 * instances of one data centre reach the platform's log through a proxy of
 * their own.  Every process is ended by fleet_close(), and by a signal
 * handler if an assertion or a signal ends the test program before.
 */
#ifndef SAMPHIRESHED_FLEET_H
#define SAMPHIRESHED_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#include "lib/clk.h"
#include "lib/hcl.h"

#define FLEET_MAX_DATACENTRES 3
#define FLEET_MAX_INSTANCES   6
#define FLEET_MAX_ENGINES     6

/* Shards of each data centre: few, so that a fleet is ready soon. */
#define FLEET_SHARDS 8

/* A failure that is never seen ends a test after this time. */
#define FLEET_DEADLINE (30 * CLK_SECOND)

/* The organisation "alpha" is not limited in practice; see fleet_plan. */
#define FLEET_KEY_ALPHA "sk-test-alpha-5f0c7b1e93"
#define FLEET_KEY_BETA	"sk-test-beta-d2417a60c8"

/* Parameters of a fleet; zero or nil means the default. */
struct fleet_plan {
	unsigned datacentres; /* 2 */
	unsigned instances; /* in each data centre: 2 */
	unsigned engines; /* 2, in the data centres in turn */
	const char *engine_options; /* separated by spaces */
	double beta_rate; /* requests a second of organisation "beta": 1000 */
	int beta_burst; /* 1000 */
};

struct fleet_process {
	pid_t pid; /* 0 once the process was reaped */
	char *name;
	char *log; /* path of its stderr */
	int status; /* of waitpid() */
};

struct fleet_instance {
	struct fleet_process *process;
	char *name;
	unsigned datacentre; /* 1 and up */
	char *callers; /* URL */
	char *operators; /* URL */
	char *settings; /* path */
};

struct fleet_standin {
	struct fleet_process *process;
	unsigned port;
	unsigned control; /* port; only of a proxy */
};

struct fleet {
	struct ev_loop *loop;
	struct hcl *hcl;
	char *directory;
	GPtrArray *processes;
	GPtrArray *calls;
	struct fleet_plan plan;
	unsigned n_instances;
	struct fleet_instance instances[FLEET_MAX_INSTANCES];
	struct fleet_standin log;
	struct fleet_standin members;
	struct fleet_standin service;
	struct fleet_standin log_proxies[FLEET_MAX_DATACENTRES + 1];
	struct fleet_standin engines[FLEET_MAX_ENGINES];
};

/* One HTTP call.  Valid until fleet_close(). */
struct fleet_call {
	struct fleet *fleet;
	struct hcl_call *handle;
	bool done;
	int status; /* as soon as the head has arrived */
	GString *body; /* grows while the call runs */
	json_t *json; /* of a whole reply that is JSON; otherwise nil */
	enum hcl_sent sent;
	bool timed_out;
	bool cut;
};

/* A request to the callers' port of an instance. */
struct fleet_request {
	unsigned instance;
	const char *method; /* nil: POST */
	const char *path; /* nil: /v1/chat/completions */
	const char *key; /* nil: FLEET_KEY_ALPHA; "": none */
	const char *idempotency_key; /* or nil */
	const char *program; /* header Samphireshed-Program, or nil */
	json_t *body; /* stolen; or nil */
};

/*
 * fleet_open(plan)
 *	Start the stand-ins and the instances, publish the configuration, and
 *	wait until every shard has an owner.  Any failure ends the test.
 */
struct fleet *fleet_open(const struct fleet_plan *plan);

/*
 * fleet_close(fleet)
 *	Check that no upstream saw an Authorization header and that no log file
 *	contains a key or a sanitizer's report, then end all processes.
 */
void fleet_close(struct fleet *fleet);

/* fleet_run(fleet, ms): let calls go on for that time. */
void fleet_run(struct fleet *fleet, clk_ms ms);

/* fleet_start(fleet, request): start a call to an instance. */
struct fleet_call *
fleet_start(struct fleet *fleet, const struct fleet_request *request);

/* fleet_wait(call): run the loop until the call has ended. */
void fleet_wait(struct fleet_call *call);

/* fleet_call(fleet, request): fleet_start() and fleet_wait(). */
struct fleet_call *
fleet_call(struct fleet *fleet, const struct fleet_request *request);

/* fleet_leave(call): close the caller's connection. */
void fleet_leave(struct fleet_call *call);

/*
 * fleet_http(fleet, method, url, body)
 *	A call without a key to any URL, to its end; the body is stolen.
 */
struct fleet_call *fleet_http(
    struct fleet *fleet, const char *method, const char *url, json_t *body);

/* fleet_ctl(fleet, instance, method, path, body): to an operators' port. */
struct fleet_call *fleet_ctl(struct fleet *fleet, unsigned instance,
    const char *method, const char *path, json_t *body);

/*
 * fleet_object(fleet, instance, object, base, value)
 *	Start to change one object; the value is stolen.
 */
struct fleet_call *fleet_object(struct fleet *fleet, unsigned instance,
    const char *object, json_int_t base, json_t *value);

/* fleet_control(fleet, standin, body): POST /control; the body is stolen. */
void fleet_control(
    struct fleet *fleet, const struct fleet_standin *standin, json_t *body);

/*
 * fleet_stats(fleet, standin, path)
 *	The reply to a GET of the stand-in's path, valid until fleet_close().
 */
const json_t *fleet_stats(
    struct fleet *fleet, const struct fleet_standin *standin, const char *path);

/*
 * fleet_engine_total(fleet, member)
 *	The sum over the live engines of a count, or of the lengths of a list.
 */
json_int_t fleet_engine_total(struct fleet *fleet, const char *member);

/* fleet_error(call, member): a text of the error in a reply, or "". */
const char *fleet_error(const struct fleet_call *call, const char *member);

/*
 * fleet_owner(fleet, program, asked)
 *	The index of the instance that owns the program, as the instance asked
 *	says; -1 if it knows none.
 */
int fleet_owner(struct fleet *fleet, const char *program, unsigned asked);

/* fleet_signal(fleet, instance, signal): send a signal to an instance. */
void fleet_signal(struct fleet *fleet, unsigned instance, int signal);

/* fleet_kill(fleet, instance): kill -9, and reap. */
void fleet_kill(struct fleet *fleet, unsigned instance);

/*
 * fleet_reap(fleet, process, timeout)
 *	Wait for the end of a process while calls go on; false after timeout.
 */
bool
fleet_reap(struct fleet *fleet, struct fleet_process *process, clk_ms timeout);

#endif
