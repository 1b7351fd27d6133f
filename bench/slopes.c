/*
 * slopes: what the decision modules cost per unit of their load, and what
 * that comes to for one daemon at the target size of docs/design.md.
 *
 * Each module is driven through its public header in six growing sizes, three
 * times each, and a line is fitted by least squares of the relative deviations.
 * Processor time is that of this process, so that other work on the machine
 * changes it little; of the repeats of one size the least counts, because
 * interference only adds. Memory is what mallinfo2() counts as allocated.
 *
 * With --values each measured value is printed as well.
 */
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "config/cfg.h"
#include "config/schema.h"
#include "lib/hcl.h"
#include "member/member.h"
#include "own/own.h"
#include "peer/rpc.h"
#include "peer/rpc_message.h"
#include "plog/plog.h"
#include "program/replica.h"
#include "program/program.h"
#include "rate/rate.h"
#include "sched/sched.h"
#include "upstream/upstream.h"

#define N_SIZES 6
#define REPEATS 3

/* The target size, docs/design.md section 4. */
#define T_DAEMONS	400.0
#define T_DATACENTRES	6
#define T_HERE		67.0 /* daemons in one data centre */
#define T_SHARDS	1024 /* in each data centre */
#define T_WORKERS	12000.0
#define T_WORKERS_HERE	2000.0
#define T_REQUESTS	45.0 /* a second and daemon */
#define T_ORGANISATIONS 38000.0
#define T_CHANGES	31000.0 /* of the configuration, a day */
#define T_STARTS	980.0 /* of sessions, a day */
#define T_PROGRAMS	1550.0 /* owned by a daemon */
#define T_TURNS_MAX	290.0
#define T_TOKENS_MAX	220000.0
#define DAY		86400.0

/*
 * Assumptions that the target size leaves open.  The mean history is that of
 * section 8; tokens of 4 bytes and the mean turn follow from the largest
 * program (220,000 tokens in 290 turns).
 */
#define A_TOKENS_MEAN	 30000.0
#define A_TOKENS_TURN	 (T_TOKENS_MAX / T_TURNS_MAX)
#define A_TURNS_MEAN	 (A_TOKENS_MEAN / A_TOKENS_TURN)
#define A_BYTES_TOKEN	 4.0
#define A_KEYS		 2.0 /* keys of an organisation */
#define A_ACTIVE_SECONDS 5.0 /* an organisation counts as active so long */
#define A_WINDOW_SECONDS 10.0 /* mean time that a call waits and runs */
#define A_SHARDS_OWNED	 (T_DATACENTRES * T_SHARDS / T_DAEMONS)

/* Limits for control, docs/design.md section 4. */
#define L_CORE	0.031
#define L_BYTES (32.0 * 1024 * 1024)
#define L_WIRE	2048.0

/*
 * TLS 1.3 adds a header, a type and a tag to a record, TCP over IPv4 with
 * timestamps a header to a segment.  Constants of the protocols, not measured.
 */
#define WIRE_TLS 22.0
#define WIRE_TCP 52.0

struct line {
	const char *name;
	const char *x_unit;
	const char *y_unit;
	double x_min;
	double x_max;
	double intercept;
	double slope;
	double residual; /* largest relative deviation from the line */
	double r_squared;
	double spread; /* largest relative difference between repeats */
};

struct table {
	struct line *lines;
	size_t n;
	bool values;
};

/* Returns the value at one size; setting up is not part of it. */
typedef double measure_fn(double size);

static double
cpu_us(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3);
}

static double
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return ((double)info.uordblks + (double)info.hblkhd);
}

/*
 * Least squares of the relative deviations: sizes span two orders of
 * magnitude, and with absolute deviations the largest alone would decide.
 */
static void
fit(struct line *line, const double *x, const double *y)
{
	double sum = 0, mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0;
	double rest = 0;
	double w[N_SIZES];

	for (int i = 0; i < N_SIZES; i++) {
		w[i] = 1 / MAX(y[i] * y[i], 1e-12);
		sum += w[i];
		mean_x += w[i] * x[i];
		mean_y += w[i] * y[i];
	}
	mean_x /= sum;
	mean_y /= sum;
	for (int i = 0; i < N_SIZES; i++) {
		xx += w[i] * (x[i] - mean_x) * (x[i] - mean_x);
		xy += w[i] * (x[i] - mean_x) * (y[i] - mean_y);
		yy += w[i] * (y[i] - mean_y) * (y[i] - mean_y);
	}
	line->slope = xy / xx;
	line->intercept = mean_y - line->slope * mean_x;
	line->residual = 0;
	for (int i = 0; i < N_SIZES; i++) {
		double off = y[i] - line->intercept - line->slope * x[i];

		rest += w[i] * off * off;
		line->residual =
		    MAX(line->residual, fabs(off) / MAX(fabs(y[i]), 1e-9));
	}
	line->r_squared = yy > 0 ? 1 - rest / yy : 1;
}

/* Measure all sizes and add the line.  The texts are borrowed. */
static void
add(struct table *table, const char *name, const char *x_unit,
    const char *y_unit, const double sizes[N_SIZES], measure_fn *measure)
{
	struct line line = {.name = name,
	    .x_unit = x_unit,
	    .y_unit = y_unit,
	    .x_min = sizes[0],
	    .x_max = sizes[N_SIZES - 1]};
	double y[N_SIZES];

	for (int i = 0; i < N_SIZES; i++) {
		double most = 0;

		y[i] = INFINITY;
		for (int k = 0; k < REPEATS; k++) {
			double value = measure(sizes[i]);

			y[i] = MIN(y[i], value);
			most = MAX(most, value);
			if (table->values)
				(void)printf("value %s: %g %s: %g %s\n", name,
				    sizes[i], x_unit, value, y_unit);
		}
		line.spread = MAX(line.spread, (most - y[i]) / MAX(y[i], 1e-9));
	}
	fit(&line, sizes, y);
	table->lines = g_renew(struct line, table->lines, table->n + 1);
	table->lines[table->n++] = line;
}

/* The line of a name; without it the estimates would mislead. */
static const struct line *
line_of(const struct table *table, const char *name)
{
	for (size_t i = 0; i < table->n; i++) {
		if (strcmp(table->lines[i].name, name) == 0)
			return (&table->lines[i]);
	}
	(void)fprintf(stderr, "no measurement named %s\n", name);
	exit(1);
}

static double
at(const struct table *table, const char *name, double x)
{
	const struct line *line = line_of(table, name);

	return (line->intercept + line->slope * x);
}

static double
slope(const struct table *table, const char *name)
{
	return (line_of(table, name)->slope);
}

static void
print_lines(const struct table *table)
{
	(void)printf("| name | unit x | sizes | unit y | intercept | slope | "
		     "residual %% | R2 | spread %% |\n"
		     "|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < table->n; i++) {
		const struct line *line = &table->lines[i];

		(void)printf("| %s | %s | %g-%g | %s | %.4g | %.4g | %.1f | "
			     "%.4f | %.1f |\n",
		    line->name, line->x_unit, line->x_min, line->x_max,
		    line->y_unit, line->intercept, line->slope,
		    line->residual * 100, line->r_squared, line->spread * 100);
	}
}

/* The shard map and the sessions. */

struct fleet {
	struct own *own;
	struct member_table *mem;
	struct member_identity self;
	unsigned sessions;
	unsigned shards;
	int64_t next;
	clk_ms now;
};

static struct member_identity
identity_of(unsigned i)
{
	struct member_identity identity = {
	    .session = i + 1, .datacentre = i % T_DATACENTRES, .weight = 1};

	(void)g_snprintf(identity.instance, sizeof(identity.instance),
	    "atl-%u-%u", i % T_DATACENTRES, i);
	(void)g_snprintf(identity.address, sizeof(identity.address),
	    "10.31.%u.%u:18082", i / 250, i % 250 + 1);
	return (identity);
}

static struct fleet *
fleet_new(unsigned sessions, unsigned shards)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	struct own_settings settings = {
	    .datacentres = T_DATACENTRES, .shards = shards};
	struct member_settings mem_settings = {0};

	fleet->self = identity_of(0);
	fleet->sessions = sessions;
	fleet->shards = shards;
	fleet->next = 1;
	fleet->own = own_open(&settings, &fleet->self);
	fleet->mem = member_table_open(&mem_settings, &fleet->self);
	return (fleet);
}

static void
fleet_free(struct fleet *fleet)
{
	own_close(fleet->own);
	member_table_close(fleet->mem);
	g_free(fleet);
}

static void
fleet_apply(struct fleet *fleet, json_t *record)
{
	if (own_apply(fleet->own, fleet->next++, record, fleet->now) ==
	    OWN_APPLIED)
		member_apply(fleet->mem, record, fleet->now);
	json_decref(record);
}

static void
fleet_open_sessions(struct fleet *fleet)
{
	for (unsigned i = 0; i < fleet->sessions; i++) {
		struct member_identity identity = identity_of(i);

		fleet_apply(fleet, member_session_open_record(&identity));
	}
}

static json_t *
claim_new(uint64_t session)
{
	char text[PLOG_SESSION_SIZE];

	return (json_pack("{s:s, s:s, s:[]}", "kind", "claim", "session",
	    plog_session_format(text, session), "shards"));
}

/*
 * The first claims of all shards, by the sessions that rank first, in records
 * as large as own_decide() makes them.
 */
static GPtrArray *
fleet_claims(const struct fleet *fleet)
{
	GPtrArray *records = g_ptr_array_new();
	json_t **open = g_new0(json_t *, fleet->sessions + 1);

	for (unsigned k = 0; k < T_DATACENTRES * fleet->shards; k++) {
		unsigned d = k / fleet->shards;
		unsigned s = k % fleet->shards;
		uint64_t here[2] = {0};
		uint64_t away[1] = {0};
		char a[PLOG_SESSION_SIZE], b[PLOG_SESSION_SIZE];
		json_t *list;

		(void)member_rank(fleet->mem, d, s, true, here, 2);
		(void)member_rank(fleet->mem, d, s, false, away, 1);
		if (open[here[0]] == NULL) {
			open[here[0]] = claim_new(here[0]);
			g_ptr_array_add(records, open[here[0]]);
		}
		list = json_object_get(open[here[0]], "shards");
		(void)json_array_append_new(list,
		    json_pack("{s:i, s:i, s:i, s:[s, s]}", "datacentre", (int)d,
			"shard", (int)s, "epoch", 0, "holders",
			plog_session_format(a, here[1]),
			plog_session_format(b, away[0])));
		if (json_array_size(list) >= OWN_RECORD_SHARDS)
			open[here[0]] = NULL;
	}
	g_free(open);
	return (records);
}

static void
fleet_claim(struct fleet *fleet, GPtrArray *records)
{
	for (unsigned i = 0; i < records->len; i++)
		fleet_apply(fleet, g_ptr_array_index(records, i));
	g_ptr_array_free(records, TRUE);
}

static void
heard_all(struct fleet *fleet)
{
	struct own_pending_claims pending = {
	    .last_claim_offset = fleet->next - 1};
	struct member_report report = {.fleet_next = fleet->next};

	for (unsigned i = 1; i < fleet->sessions; i++) {
		own_heartbeat_answered(fleet->own, i + 1, fleet->now, &pending);
		member_heartbeat_received(
		    fleet->mem, i + 1, true, &report, fleet->now);
	}
}

/* Let the module act until it has nothing more to do. */
static void
fleet_settle(struct fleet *fleet)
{
	struct own_action actions[64];
	unsigned idle = 0;

	for (int round = 0; round < 2000 && idle < 100; round++) {
		size_t n;

		fleet->now += 100;
		own_log_read_done(fleet->own, fleet->now);
		heard_all(fleet);
		n = own_decide(fleet->own, fleet->mem, fleet->now, actions, 64);
		idle = n == 0 ? idle + 1 : 0;
		for (size_t i = 0; i < n; i++) {
			if (actions[i].kind == OWN_ACT_RECOVER)
				own_recovery_done(fleet->own, actions[i].id,
				    actions[i].epoch);
			if (actions[i].kind == OWN_ACT_PREPARE)
				own_handover_prepared(fleet->own, actions[i].id,
				    actions[i].epoch, false);
			if (actions[i].kind != OWN_ACT_APPEND)
				continue;
			fleet_apply(fleet, actions[i].record);
			own_append_done(
			    fleet->own, actions[i].ref, OWN_APPENDED);
		}
	}
}

static struct fleet *
fleet_ready(unsigned sessions, unsigned shards)
{
	struct fleet *fleet = fleet_new(sessions, shards);

	fleet_open_sessions(fleet);
	fleet_claim(fleet, fleet_claims(fleet));
	fleet_settle(fleet);
	return (fleet);
}

static double
own_apply_sessions(double size)
{
	struct fleet *fleet = fleet_new((unsigned)size, 64);
	double us = cpu_us();

	fleet_open_sessions(fleet);
	us = cpu_us() - us;
	fleet_free(fleet);
	return (us);
}

static double
own_apply_claims(double size)
{
	struct fleet *fleet =
	    fleet_new((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES);
	GPtrArray *records;
	double us;

	fleet_open_sessions(fleet);
	records = fleet_claims(fleet);
	us = cpu_us();
	fleet_claim(fleet, records);
	us = cpu_us() - us;
	fleet_free(fleet);
	return (us);
}

static double
own_memory(unsigned sessions, unsigned shards)
{
	double before = heap_bytes();
	struct fleet *fleet = fleet_ready(sessions, shards);
	double bytes = heap_bytes() - before;

	fleet_free(fleet);
	return (bytes);
}

static double
own_memory_shards(double size)
{
	return (
	    own_memory((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES));
}

static double
own_memory_sessions(double size)
{
	return (own_memory((unsigned)size, 256));
}

#define DECIDE_CALLS 40

/* One call when nothing is to be done, 10 of which a daemon makes a second. */
static double
own_decide_idle(unsigned sessions, unsigned shards)
{
	struct fleet *fleet = fleet_ready(sessions, shards);
	struct own_action actions[64];
	double us = 0;

	for (int i = 0; i < DECIDE_CALLS; i++) {
		double start;

		fleet->now += 100;
		own_log_read_done(fleet->own, fleet->now);
		heard_all(fleet);
		start = cpu_us();
		for (int k = 0; k < 10; k++)
			(void)own_decide(
			    fleet->own, fleet->mem, fleet->now, actions, 64);
		us += cpu_us() - start;
	}
	fleet_free(fleet);
	return (us / DECIDE_CALLS / 10);
}

static double
own_decide_shards(double size)
{
	return (own_decide_idle(
	    (unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES));
}

static double
own_decide_sessions(double size)
{
	return (own_decide_idle((unsigned)size, 256));
}

static double
own_watched_call(double size)
{
	struct fleet *fleet =
	    fleet_ready((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES);
	uint64_t sessions[MEMBER_MAX_SESSIONS];
	double us = cpu_us();

	for (int i = 0; i < 100; i++)
		(void)own_watched_get(
		    fleet->own, sessions, MEMBER_MAX_SESSIONS);
	us = cpu_us() - us;
	fleet_free(fleet);
	return (us / 100);
}

/* Of other data centres; these get heartbeats beyond the fixed ones. */
static double
own_watched_count(double size)
{
	struct fleet *fleet =
	    fleet_ready((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES);
	uint64_t sessions[MEMBER_MAX_SESSIONS];
	double n =
	    (double)own_watched_get(fleet->own, sessions, MEMBER_MAX_SESSIONS);

	fleet_free(fleet);
	return (n);
}

/* The scan for handed over shards that a daemon makes 50 times a second. */
static double
own_scan(double size)
{
	struct fleet *fleet = fleet_ready((unsigned)T_DAEMONS, (unsigned)size);
	struct own_shard info;
	unsigned serving = 0;
	double us = cpu_us();

	for (int i = 0; i < 200; i++) {
		for (unsigned s = 0; s < (unsigned)size; s++) {
			struct own_shard_id id = {.shard = (uint16_t)s};

			if (own_shard_get(fleet->own, id, &info) &&
			    info.phase == OWN_SERVING)
				serving++;
		}
	}
	us = cpu_us() - us;
	fleet_free(fleet);
	/* Of few shards this session may own none. */
	(void)serving;
	return (us / 200);
}

static double
own_snapshot_bytes(double size)
{
	struct fleet *fleet =
	    fleet_ready((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES);
	json_t *parts = own_snapshot(fleet->own, fleet->now);
	double bytes = 0;
	json_t *part;
	size_t i;

	json_array_foreach(parts, i, part)
	{
		char *text = json_dumps(part, JSON_COMPACT);

		bytes += (double)strlen(text);
		free(text);
	}
	json_decref(parts);
	fleet_free(fleet);
	return (bytes);
}

static double
own_snapshot_time(double size)
{
	struct fleet *fleet =
	    fleet_ready((unsigned)T_DAEMONS, (unsigned)size / T_DATACENTRES);
	double us = cpu_us();

	json_decref(own_snapshot(fleet->own, fleet->now));
	us = cpu_us() - us;
	fleet_free(fleet);
	return (us);
}

/* One call of member_heartbeats_due(), 20 of which a daemon makes a second. */
static double
mem_heartbeats_call(double size)
{
	struct fleet *fleet = fleet_new((unsigned)size, 64);
	struct member_heartbeat pings[64];
	double us = 0;

	fleet_open_sessions(fleet);
	for (int i = 0; i < 100; i++) {
		double start = cpu_us();

		for (int k = 0; k < 5; k++) {
			fleet->now += 50;
			(void)member_heartbeats_due(
			    fleet->mem, fleet->now, pings, 64);
		}
		us += cpu_us() - start;
		heard_all(fleet);
	}
	fleet_free(fleet);
	return (us / 500);
}

/* One call of member_info_list(), 10 of which a daemon makes a second. */
static double
mem_list_call(double size)
{
	struct fleet *fleet = fleet_new((unsigned)size, 64);
	struct member_info *infos =
	    g_new(struct member_info, MEMBER_MAX_SESSIONS);
	double us;

	fleet_open_sessions(fleet);
	us = cpu_us();
	for (int i = 0; i < 200; i++)
		(void)member_info_list(fleet->mem, infos, MEMBER_MAX_SESSIONS);
	us = cpu_us() - us;
	g_free(infos);
	fleet_free(fleet);
	return (us / 200);
}

/* Heartbeats. */

static struct peer_state
heartbeat_state(void)
{
	struct peer_state state = {.session = 0x1122334455667788,
	    .name = (char *)(uintptr_t) "atl-1-17",
	    .datacentre = (char *)(uintptr_t) "atl-1",
	    .address = (char *)(uintptr_t) "10.31.1.17:18082",
	    .config_position = 1234567,
	    .fleet_position = 45678,
	    .log_age_ms = 260,
	    .load = 400};

	return (state);
}

/* One heartbeat and its answer, encoded and decoded on both sides. */
static double
heartbeat_once(void)
{
	struct peer_heartbeat_args args = {
	    .state = heartbeat_state(), .sent_at = 123456789};
	struct peer_heartbeat_reply reply = {
	    .state = args.state, .sent_at = 123456789, .claimed_at = 45000};
	struct rpc_msg_call call;
	size_t call_len, reply_len;
	void *decoded;
	uint8_t *bytes;

	bytes = rpc_msg_call_encode(
	    7, PEER_HEARTBEAT, &args, PEER_MAX_DATA, &call_len);
	/* A record mark of 4 bytes precedes the message. */
	if (rpc_msg_call_decode(bytes + 4, call_len - 4, &call) == RPC_MSG_OK)
		rpc_msg_args_free(PEER_HEARTBEAT, call.args);
	else
		g_assert_not_reached();
	g_free(bytes);
	bytes = rpc_msg_reply_encode(
	    7, PEER_HEARTBEAT, &reply, PEER_MAX_DATA, &reply_len);
	if (rpc_msg_reply_decode(bytes + 4, reply_len - 4, PEER_HEARTBEAT,
		&decoded) == RPC_MSG_ANSWERED)
		rpc_msg_reply_free(PEER_HEARTBEAT, decoded);
	else
		g_assert_not_reached();
	g_free(bytes);
	return ((double)(call_len + reply_len));
}

static double
heartbeat_bytes(double size)
{
	double bytes = 0;

	for (unsigned i = 0; i < (unsigned)size; i++)
		bytes += heartbeat_once();
	return (bytes);
}

static double
heartbeat_time(double size)
{
	double us = cpu_us();

	for (int i = 0; i < 20; i++)
		(void)heartbeat_bytes(size);
	return ((cpu_us() - us) / 20);
}

/* Links: TLS and TCP between an instance and its peers. */

struct links {
	struct ev_loop *loop;
	struct rpc *caller;
	GPtrArray *peers; /* struct rpc */
	unsigned waiting;
	unsigned failed;
};

static clk_ms
links_now(void *arg)
{
	(void)arg;
	return (g_get_monotonic_time() / 1000);
}

static void
links_answer(struct rpc_request *request, const void *args, void *arg)
{
	const struct peer_heartbeat_args *heartbeat = args;
	struct peer_heartbeat_reply reply = {.state = heartbeat_state(),
	    .sent_at = heartbeat->sent_at,
	    .claimed_at = 45000};

	(void)arg;
	rpc_request_reply(request, &reply);
}

static void
links_answered(const struct rpc_result *result, void *arg)
{
	struct links *links = arg;

	if (result->sent != RPC_REPLIED)
		links->failed++;
	if (--links->waiting == 0)
		ev_break(links->loop, EVBREAK_ONE);
}

static struct rpc *
links_open_one(struct links *links)
{
	struct rpc_options options = {.address = "127.0.0.1",
	    .psk = "0123456789abcdef0123456789abcdef",
	    .psk_len = 32,
	    .clk = {.now = links_now},
	    .arg = links};
	char *error = NULL;
	struct rpc *pr;

	options.handlers[PEER_HEARTBEAT] = links_answer;
	pr = rpc_open(links->loop, &options, &error);
	if (pr == NULL) {
		(void)fprintf(stderr, "%s\n", error);
		exit(1);
	}
	return (pr);
}

static struct links *
links_new(unsigned n)
{
	struct links *links = g_new0(struct links, 1);

	links->loop = ev_loop_new(EVFLAG_AUTO);
	links->caller = links_open_one(links);
	links->peers = g_ptr_array_new();
	for (unsigned i = 0; i < n; i++)
		g_ptr_array_add(links->peers, links_open_one(links));
	return (links);
}

/* One heartbeat to each peer, and its answer. */
static void
links_round(struct links *links)
{
	struct peer_heartbeat_args args = {
	    .state = heartbeat_state(), .sent_at = 123456789};
	char address[64];

	links->waiting = links->peers->len;
	for (unsigned i = 0; i < links->peers->len; i++) {
		(void)g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		    (unsigned)rpc_port(g_ptr_array_index(links->peers, i)));
		(void)rpc_call_start(links->caller, address, PEER_HEARTBEAT,
		    &args, 10 * CLK_SECOND, links_answered, links);
	}
	ev_run(links->loop, 0);
}

static void
links_free(struct links *links)
{
	if (links->failed > 0) {
		(void)fprintf(stderr, "%u heartbeats failed\n", links->failed);
		exit(1);
	}
	rpc_close(links->caller);
	for (unsigned i = 0; i < links->peers->len; i++)
		rpc_close(g_ptr_array_index(links->peers, i));
	g_ptr_array_free(links->peers, TRUE);
	ev_loop_destroy(links->loop);
	g_free(links);
}

/* Both ends of each link are in this process. */
static double
link_memory(double size)
{
	struct links *links = links_new((unsigned)size);
	double bytes = heap_bytes();

	links_round(links);
	bytes = heap_bytes() - bytes;
	links_free(links);
	return (bytes);
}

static double
link_time(double size)
{
	struct links *links = links_new((unsigned)size);
	double us;

	links_round(links);
	us = cpu_us();
	for (int i = 0; i < 20; i++)
		links_round(links);
	us = cpu_us() - us;
	links_free(links);
	return (us / 20);
}

static double
link_open_time(double size)
{
	struct links *links = links_new((unsigned)size);
	double us = cpu_us();

	links_round(links);
	us = cpu_us() - us;
	links_free(links);
	return (us);
}

/* The configuration. */

static bool
check_object(enum cfg_kind kind, const char *name, const json_t *value,
    char **error, void *arg)
{
	g_autofree char *object =
	    g_strdup_printf("%s/%s", cfg_kind_name(kind), name);

	(void)arg;
	return (schema_check(object, value, error));
}

static void
digest_of(unsigned i, uint8_t digest[CFG_DIGEST_SIZE])
{
	gsize len = CFG_DIGEST_SIZE;
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	g_checksum_update(sum, (const guchar *)&i, sizeof(i));
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
}

static char *
organisation_record(unsigned i)
{
	g_autofree char *name = g_strdup_printf("organisation/org-%06u", i);

	return (cfg_record_change(name, 0,
	    "{\"rate\":20,\"burst\":40,\"home\":\"atl-1\","
	    "\"budget_tokens\":400000}",
	    "operator", 0x1122334455667788, i + 1));
}

static char *
key_record(unsigned i)
{
	g_autofree char *name = g_strdup_printf("key/key-%06u", i);
	g_autofree char *value = NULL;
	uint8_t digest[CFG_DIGEST_SIZE];
	GString *hex = g_string_new(NULL);

	digest_of(i, digest);
	for (unsigned k = 0; k < CFG_DIGEST_SIZE; k++)
		g_string_append_printf(hex, "%02x", digest[k]);
	value = g_strdup_printf(
	    "{\"digest\":\"%s\",\"organisation\":\"org-%06u\"}", hex->str, i);
	g_string_free(hex, TRUE);
	return (cfg_record_change(
	    name, 0, value, "operator", 0x1122334455667788, i + 1));
}

static char *
upstream_record(unsigned i)
{
	g_autofree char *name = g_strdup_printf("upstream/engine-%05u", i);
	g_autofree char *value = g_strdup_printf(
	    "{\"kind\":\"model\",\"url\":\"http://10.40.%u.%u:8000\","
	    "\"datacentre\":\"atl-%u\",\"models\":[\"chat-%u\"],"
	    "\"capacity\":32,\"checks_fencing\":true}",
	    i / 250, i % 250 + 1, i % T_DATACENTRES, i % 13);

	return (cfg_record_change(
	    name, 0, value, "operator", 0x1122334455667788, i + 1));
}

typedef char *record_fn(unsigned i);

/* Apply n records of a kind; returns the processor time of cfg_apply(). */
static double
cfg_fill(struct cfg *cfg, unsigned n, record_fn *record)
{
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	uint64_t offset = cfg_frontier(cfg);
	double us;

	for (unsigned i = 0; i < n; i++)
		g_ptr_array_add(texts, record(i));
	us = cpu_us();
	for (unsigned i = 0; i < n; i++) {
		const char *text = g_ptr_array_index(texts, i);

		if (cfg_apply(cfg, ++offset, text, strlen(text)) !=
		    CFG_ACCEPTED) {
			(void)fprintf(stderr, "refused: %s\n", text);
			exit(1);
		}
	}
	us = cpu_us() - us;
	g_ptr_array_unref(texts);
	return (us);
}

static struct cfg *
cfg_new(void)
{
	struct cfg_options options = {.check = check_object};

	return (cfg_open(&options));
}

static double
cfg_memory(double size, record_fn *record)
{
	double bytes = heap_bytes();
	struct cfg *cfg = cfg_new();

	(void)cfg_fill(cfg, (unsigned)size, record);
	bytes = heap_bytes() - bytes;
	cfg_close(cfg);
	return (bytes);
}

static double
cfg_memory_organisations(double size)
{
	return (cfg_memory(size, organisation_record));
}

static double
cfg_memory_keys(double size)
{
	return (cfg_memory(size, key_record));
}

static double
cfg_memory_upstreams(double size)
{
	return (cfg_memory(size, upstream_record));
}

static double
cfg_apply_time(double size)
{
	struct cfg *cfg = cfg_new();
	double us = cfg_fill(cfg, (unsigned)size, organisation_record);

	cfg_close(cfg);
	return (us);
}

#define LOOKUPS 20000

/* Mean of one look-up, in ns. */
static double
cfg_key_time(double size)
{
	struct cfg *cfg = cfg_new();
	uint8_t(*digests)[CFG_DIGEST_SIZE] =
	    g_malloc_n(LOOKUPS, sizeof(*digests));
	unsigned found = 0;
	double us;

	(void)cfg_fill(cfg, (unsigned)size, key_record);
	for (unsigned i = 0; i < LOOKUPS; i++)
		digest_of(i * 7919U % (unsigned)size, digests[i]);
	us = cpu_us();
	for (unsigned i = 0; i < LOOKUPS; i++)
		found += cfg_key_find(cfg, digests[i]) != NULL;
	us = cpu_us() - us;
	g_assert(found == LOOKUPS);
	g_free(digests);
	cfg_close(cfg);
	return (us * 1000 / LOOKUPS);
}

static double
cfg_export_bytes(double size)
{
	struct cfg *cfg = cfg_new();
	GPtrArray *parts;
	double bytes = 0;

	(void)cfg_fill(cfg, (unsigned)size, organisation_record);
	parts = cfg_export(cfg, 1, (size_t)256 * 1024);
	for (guint i = 0; i < parts->len; i++)
		bytes += (double)strlen(g_ptr_array_index(parts, i));
	g_ptr_array_unref(parts);
	cfg_close(cfg);
	return (bytes);
}

static double
cfg_record_bytes(double size)
{
	double bytes = 0;

	for (unsigned i = 0; i < (unsigned)size; i++) {
		char *text = organisation_record(i);

		bytes += (double)strlen(text);
		g_free(text);
	}
	return (bytes);
}

static double
cfg_export_time(double size)
{
	struct cfg *cfg = cfg_new();
	double us;

	(void)cfg_fill(cfg, (unsigned)size, organisation_record);
	us = cpu_us();
	g_ptr_array_unref(cfg_snapshot_parts(cfg, 1, (size_t)256 * 1024));
	us = cpu_us() - us;
	cfg_close(cfg);
	return (us);
}

/* Programs: their owner and one replica holder. */

struct programs {
	struct prog_set *prg;
	struct replica_set *cpy;
	GPtrArray *batch; /* records not yet given to the holder */
	clk_ms now;
	double sent; /* bytes of REPLICATE messages to one holder */
	double put_us;
	double owner_us;
};

static void
programs_record(const struct prog_record *record, void *arg)
{
	struct programs *p = arg;

	prog_records_add(p->batch, record);
}

static void
programs_start(prog_handle handle, void *arg)
{
	(void)handle;
	(void)arg;
}

static void
programs_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	(void)handle;
	(void)answer;
	(void)arg;
}

static void
programs_release(const char *program, const char *engine, void *arg)
{
	(void)program;
	(void)engine;
	(void)arg;
}

static void
programs_random(void *buf, size_t len, void *arg)
{
	uint8_t *bytes = buf;

	(void)arg;
	for (size_t i = 0; i < len; i++)
		bytes[i] = (uint8_t)g_random_int();
}

/* Bytes of the message that carries the records. */
static double
replicate_bytes(const GPtrArray *records)
{
	const struct prog_record *first = g_ptr_array_index(records, 0);
	struct peer_record *wire = g_new0(struct peer_record, records->len);
	struct peer_replicate_args args = {.session = 0x1122334455667788,
	    .datacentre = first->datacentre,
	    .shard = first->shard,
	    .epoch = first->epoch};
	size_t len;

	for (guint i = 0; i < records->len; i++) {
		struct prog_record *record = g_ptr_array_index(records, i);

		wire[i].seq = record->seq;
		wire[i].kind = (u_int)record->kind;
		wire[i].program_id = record->program;
		wire[i].payload.payload_len = (u_int)record->payload_len;
		wire[i].payload.payload_val =
		    (char *)(uintptr_t)record->payload;
	}
	args.records.records_len = records->len;
	args.records.records_val = wire;
	g_free(
	    rpc_msg_call_encode(7, PEER_REPLICATE, &args, PEER_MAX_DATA, &len));
	g_free(wire);
	return ((double)len);
}

/* Give the records to the holder, as one message does. */
static void
programs_replicate(struct programs *p)
{
	const struct prog_record *first;
	struct replica_result result;
	double us;

	if (p->batch->len == 0)
		return;
	first = g_ptr_array_index(p->batch, 0);
	p->sent += replicate_bytes(p->batch);
	us = cpu_us();
	if (p->cpy != NULL) {
		result = replica_apply(p->cpy, first->datacentre, first->shard,
		    first->epoch, p->batch);
		g_assert(result.outcome == REPLICA_ACCEPTED);
	}
	p->put_us += cpu_us() - us;
	g_ptr_array_set_size(p->batch, 0);
}

static struct programs *
programs_new(bool replica)
{
	struct programs *p = g_new0(struct programs, 1);
	struct prog_options options = {.datacentre = 1};
	struct prog_hooks hooks = {.on_record = programs_record,
	    .on_start = programs_start,
	    .on_answer = programs_answer,
	    .on_release = programs_release,
	    .random = programs_random,
	    .arg = p};

	p->batch = prog_records_new();
	p->prg = prog_set_new(&options, &hooks);
	p->cpy = replica ? replica_set_new() : NULL;
	prog_shard_open(p->prg, 0, 1);
	prog_recover_end(p->prg, p->now, 0, true);
	programs_replicate(p);
	return (p);
}

static void
programs_free(struct programs *p)
{
	prog_set_free(p->prg);
	if (p->cpy != NULL)
		replica_set_free(p->cpy);
	g_ptr_array_unref(p->batch);
	g_free(p);
}

static void
program_create(struct programs *p, char id[PROG_ID_SIZE])
{
	struct prog_new_program program = {.organisation = "org-000017",
	    .urgency = "urgent",
	    .budget = 1000000000};
	struct vd vd = prog_create(p->prg, p->now, &program, id);

	g_assert(vd_is_ok(&vd));
	programs_replicate(p);
}

static json_t *
message_new(const char *role, double tokens)
{
	g_autofree char *text =
	    g_strnfill((gsize)(tokens * A_BYTES_TOKEN), 'x');

	return (json_pack("[{s:s, s:s}]", "role", role, "content", text));
}

/* One turn of a model call, half of its tokens in the question. */
static void
program_turn(struct programs *p, const char *id, double tokens)
{
	json_t *question = message_new("user", tokens / 2);
	json_t *reply = message_new("assistant", tokens / 2);
	struct prog_call call = {.program = id,
	    .organisation = "org-000017",
	    .kind = PROG_CALL_MODEL,
	    .prompt_tokens = (int64_t)(tokens / 2),
	    .answer_tokens = (int64_t)(tokens / 2),
	    .messages = question};
	struct prog_result result = {.vd = vd_ok(),
	    .tokens = (int64_t)tokens,
	    .messages = reply,
	    .engine = "engine-00017",
	    .status = 200,
	    .content_type = "application/json"};
	struct prog_answer answer;
	prog_handle handle;
	struct vd vd;
	double us;

	p->now += 10;
	us = cpu_us();
	if (prog_call_submit(p->prg, p->now, &call, &handle, &answer) !=
	    PROG_SUBMIT_START) {
		(void)fprintf(stderr, "refused: %s\n", answer.vd.detail);
		exit(1);
	}
	p->owner_us += cpu_us() - us;
	programs_replicate(p);
	us = cpu_us();
	vd = prog_call_begun(p->prg, p->now, handle, true);
	g_assert(vd_is_ok(&vd));
	g_free(prog_call_messages_text(p->prg, handle));
	g_assert(prog_call_finish(p->prg, p->now, handle, &result));
	p->owner_us += cpu_us() - us;
	programs_replicate(p);
	us = cpu_us();
	prog_call_ended(p->prg, p->now, handle, true);
	p->owner_us += cpu_us() - us;
	json_decref(question);
	json_decref(reply);
}

/*
 * Mean memory of 8 programs.  Their numbers of turns are spread evenly over a
 * factor of 2 around the size, because the buffer of a history grows by
 * doubling: a single length would be anywhere between exact and twice that.
 */
static double
program_memory_turns(double size, bool replica)
{
	double bytes = heap_bytes();
	struct programs *p = programs_new(replica);
	char id[PROG_ID_SIZE];

	for (int i = 0; i < 8; i++) {
		int turns = (int)lround(size * (0.67 + 0.66 * i / 7));

		program_create(p, id);
		for (int k = 0; k < turns; k++)
			program_turn(p, id, A_TOKENS_TURN);
	}
	if (replica) {
		prog_set_free(p->prg);
		p->prg = NULL;
	}
	bytes = heap_bytes() - bytes;
	if (replica) {
		replica_set_free(p->cpy);
		g_ptr_array_unref(p->batch);
		g_free(p);
	} else {
		programs_free(p);
	}
	return (bytes / 8);
}

static double
program_memory_owner(double size)
{
	return (program_memory_turns(size, false));
}

static double
program_memory_replica(double size)
{
	return (program_memory_turns(size, true));
}

/* What replica_bytes() counts of the same programs. */
static double
program_counted_replica(double size)
{
	struct programs *p = programs_new(true);
	char id[PROG_ID_SIZE];
	double bytes;

	for (int i = 0; i < 8; i++) {
		int turns = (int)lround(size * (0.67 + 0.66 * i / 7));

		program_create(p, id);
		for (int k = 0; k < turns; k++)
			program_turn(p, id, A_TOKENS_TURN);
	}
	bytes = (double)replica_bytes(p->cpy);
	programs_free(p);
	return (bytes / 8);
}

/* Memory of so many programs of one small turn each. */
static double
program_memory_count(double size)
{
	double bytes = heap_bytes();
	struct programs *p = programs_new(false);
	char id[PROG_ID_SIZE];

	for (int i = 0; i < (int)size; i++) {
		program_create(p, id);
		program_turn(p, id, 16);
	}
	bytes = heap_bytes() - bytes;
	programs_free(p);
	return (bytes);
}

enum turn_cost { TURN_OWNER, TURN_HOLDER };

/* The next turn of 8 programs that have made so many turns already. */
static double
program_turn_cost(double size, enum turn_cost cost)
{
	struct programs *p = programs_new(true);
	char ids[8][PROG_ID_SIZE];
	double us;

	for (int i = 0; i < 8; i++) {
		program_create(p, ids[i]);
		for (int k = 0; k < (int)size; k++)
			program_turn(p, ids[i], A_TOKENS_TURN);
	}
	p->owner_us = 0;
	p->put_us = 0;
	for (int i = 0; i < 8; i++)
		program_turn(p, ids[i], A_TOKENS_TURN);
	us = cost == TURN_OWNER ? p->owner_us : p->put_us;
	programs_free(p);
	return (us / 8);
}

static double
program_turn_owner(double size)
{
	return (program_turn_cost(size, TURN_OWNER));
}

static double
program_turn_holder(double size)
{
	return (program_turn_cost(size, TURN_HOLDER));
}

/* Bytes to one holder of one turn of so many tokens. */
static double
program_turn_bytes(double size)
{
	struct programs *p = programs_new(true);
	char id[PROG_ID_SIZE];
	double bytes;

	program_create(p, id);
	program_turn(p, id, size);
	p->sent = 0;
	program_turn(p, id, size);
	bytes = p->sent;
	programs_free(p);
	return (bytes);
}

/* One pass, which a daemon makes each second. */
static double
program_tick(double size)
{
	struct programs *p = programs_new(false);
	char id[PROG_ID_SIZE];
	double us;

	for (int i = 0; i < (int)size; i++)
		program_create(p, id);
	us = cpu_us();
	for (int i = 0; i < 20; i++)
		prog_tick(p->prg, p->now);
	us = cpu_us() - us;
	programs_free(p);
	return (us / 20);
}

/* Rates. */

struct rates {
	struct rate_coordinator *coordinator;
	struct rate_holder *holder;
	clk_ms now;
	unsigned organisations;
	char (*names)[16];
	GArray *wishes; /* struct rate_request */
	double n_wishes;
	unsigned taken;
	bool grant_all; /* answer without a coordinator */
};

static bool
rates_limit(const char *organisation, struct rate_limit *limit, void *arg)
{
	(void)organisation;
	(void)arg;
	limit->rate = 20000 / T_DATACENTRES;
	limit->burst = 40 / T_DATACENTRES;
	return (true);
}

static uint16_t
rates_shard(const char *organisation, void *arg)
{
	(void)arg;
	return ((uint16_t)(g_str_hash(organisation) % T_SHARDS));
}

static void
rates_done(
    void *waiter, enum rate_outcome outcome, clk_ms retry_after, void *arg)
{
	struct rates *rates = arg;

	(void)waiter;
	(void)retry_after;
	rates->taken += outcome == RATE_TAKEN;
}

static struct rates *
rates_new(unsigned organisations)
{
	struct rates *rates = g_new0(struct rates, 1);

	rates->coordinator = rate_coordinator_new(rates_limit, rates);
	rates->holder = rate_holder_new(rates_shard, rates_done, rates);
	rates->organisations = organisations;
	rates->names = g_malloc_n(organisations, sizeof(*rates->names));
	rates->wishes = g_array_new(FALSE, FALSE, sizeof(struct rate_request));
	for (unsigned i = 0; i < organisations; i++)
		(void)g_snprintf(
		    rates->names[i], sizeof(rates->names[i]), "org-%06u", i);
	for (unsigned s = 0; s < T_SHARDS; s++)
		rate_coordinator_acquire(
		    rates->coordinator, 0, (uint16_t)s, false);
	rates->now = 10 * CLK_SECOND;
	return (rates);
}

static void
rates_free(struct rates *rates)
{
	rate_holder_free(rates->holder);
	rate_coordinator_free(rates->coordinator);
	g_array_unref(rates->wishes);
	g_free(rates->names);
	g_free(rates);
}

static void
rates_wish(const struct rate_request *request, void *arg)
{
	struct rates *rates = arg;

	g_array_append_vals(rates->wishes, request, 1);
}

/* Carry the requests that are due to the coordinator and back at once. */
static void
rates_exchange(struct rates *rates)
{
	g_array_set_size(rates->wishes, 0);
	rate_holder_poll(rates->holder, rates->now, rates_wish, rates);
	rates->n_wishes += rates->wishes->len;
	for (guint i = 0; i < rates->wishes->len; i++) {
		struct rate_request *wish =
		    &g_array_index(rates->wishes, struct rate_request, i);
		struct rate_reply reply = {
		    .tokens = wish->wanted, .lifetime = RATE_GRANT_LIFETIME_MS};

		if (!rates->grant_all)
			(void)rate_coordinator_grant(rates->coordinator,
			    rates->now, rates->now + CLK_MINUTE, 1, wish,
			    &reply);
		rate_holder_reply(rates->holder, rates->now, wish->organisation,
		    wish->serial, &reply);
	}
}

static void
rates_take_each(struct rates *rates)
{
	clk_ms retry_after;

	for (unsigned i = 0; i < rates->organisations; i++) {
		if (rate_holder_take(rates->holder, rates->now, rates->names[i],
			rates->names[i], &retry_after) == RATE_TAKEN)
			rates->taken++;
	}
}

/* A request of each organisation: take, ask, grant, serve. */
static double
rate_round(double size)
{
	struct rates *rates = rates_new((unsigned)size);
	double us = 0;

	for (int i = 0; i < 4; i++) {
		double start = cpu_us();

		rates_take_each(rates);
		rates_exchange(rates);
		us += cpu_us() - start;
		rates->now += CLK_SECOND;
	}
	g_assert(rates->taken > 0);
	rates_free(rates);
	return (us / 4);
}

/* rate_holder_poll() and rate_holder_tick(), 40 times a second each. */
static double
rate_tick(double size)
{
	struct rates *rates = rates_new((unsigned)size);
	double us;

	rates_take_each(rates);
	rates_exchange(rates);
	us = cpu_us();
	for (int i = 0; i < 20; i++) {
		rates->now += 1;
		rates_exchange(rates);
		rate_holder_tick(rates->holder, rates->now);
	}
	us = cpu_us() - us;
	rates_free(rates);
	return (us / 20);
}

static double
rate_memory_holder(double size)
{
	struct rates *rates = rates_new((unsigned)size);
	double bytes = heap_bytes();

	rates->grant_all = true;
	rates_take_each(rates);
	rates_exchange(rates);
	g_array_set_size(rates->wishes, 0);
	bytes = heap_bytes() - bytes;
	g_assert(
	    rate_holder_active_count(rates->holder) == rates->organisations);
	rates_free(rates);
	return (bytes);
}

static double
rate_memory_coordinator(double size)
{
	struct rates *rates = rates_new((unsigned)size);
	double bytes = heap_bytes();

	for (unsigned i = 0; i < rates->organisations; i++) {
		struct rate_request wish = {.organisation = rates->names[i],
		    .shard = rates_shard(rates->names[i], NULL),
		    .serial = 1,
		    .wanted = 1};
		struct rate_reply reply;

		(void)rate_coordinator_grant(rates->coordinator, rates->now,
		    rates->now + CLK_MINUTE, 1, &wish, &reply);
	}
	bytes = heap_bytes() - bytes;
	g_assert(rate_coordinator_bucket_count(rates->coordinator) ==
	    rates->organisations);
	rates_free(rates);
	return (bytes);
}

/* Entries of GRANT messages for so many requests at the rate of one daemon. */
static double
rate_wishes(double size)
{
	struct rates *rates = rates_new((unsigned)T_ORGANISATIONS);
	GRand *rand = g_rand_new_with_seed(1);
	clk_ms retry_after;
	double due = 0;
	double n;

	for (double done = 0; done < size;) {
		rates->now += 25;
		due += T_REQUESTS * 0.025;
		for (; due >= 1 && done < size; due--, done++) {
			unsigned i = (unsigned)g_rand_int_range(
			    rand, 0, (gint32)rates->organisations);

			(void)rate_holder_take(rates->holder, rates->now,
			    rates->names[i], rates->names[i], &retry_after);
		}
		rates_exchange(rates);
		rate_holder_tick(rates->holder, rates->now);
	}
	n = rates->n_wishes;
	g_rand_free(rand);
	rates_free(rates);
	return (n);
}

/* A GRANT call and its reply with so many entries. */
static double
grant_bytes(double size)
{
	u_int n = (u_int)size;
	struct peer_grant_wish *wishes = g_new0(struct peer_grant_wish, n);
	struct peer_grant *grants = g_new0(struct peer_grant, n);
	struct peer_grant_args args = {.session = 1};
	struct peer_grant_reply reply = {.session = 1};
	size_t call_len, reply_len;

	for (u_int i = 0; i < n; i++) {
		wishes[i].organisation = (char *)(uintptr_t) "org-000017";
		grants[i].organisation = wishes[i].organisation;
	}
	args.items.items_len = n;
	args.items.items_val = wishes;
	reply.items.items_len = n;
	reply.items.items_val = grants;
	g_free(rpc_msg_call_encode(
	    7, PEER_GRANT, &args, PEER_MAX_DATA, &call_len));
	g_free(rpc_msg_reply_encode(
	    7, PEER_GRANT, &reply, PEER_MAX_DATA, &reply_len));
	g_free(wishes);
	g_free(grants);
	return ((double)(call_len + reply_len));
}

/* Upstreams and the scheduler. */

static struct upstream_table *
upstreams_new(unsigned n, unsigned window)
{
	struct upstream_options options = {.datacentre = "atl-1",
	    .window_start = window,
	    .window_max = window};
	struct upstream_table *ups = upstream_open(&options);

	for (unsigned i = 0; i < n; i++) {
		char name[32], url[48], datacentre[16], model[16];
		const char *models[] = {model, NULL};
		struct upstream_config config = {.name = name,
		    .url = url,
		    .datacentre = datacentre,
		    .models = models,
		    .checks_fencing = true,
		    .speed = 5000 + 100 * (i % 97)};

		(void)g_snprintf(name, sizeof(name), "engine-%05u", i);
		(void)g_snprintf(url, sizeof(url), "http://10.40.%u.%u:8000",
		    i / 250, i % 250 + 1);
		(void)g_snprintf(datacentre, sizeof(datacentre), "atl-%u",
		    i % T_DATACENTRES + 1);
		(void)g_snprintf(model, sizeof(model), "chat-%u", i % 13);
		(void)upstream_set(ups, &config);
	}
	return (ups);
}

static double
upstream_memory(double size)
{
	double bytes = heap_bytes();
	struct upstream_table *ups = upstreams_new((unsigned)size, 4);

	bytes = heap_bytes() - bytes;
	upstream_close(ups);
	return (bytes);
}

/* upstream_get_info() of all, as the driver does 10 times a second to poll
 * them. */
static double
upstream_scan(double size)
{
	struct upstream_table *ups = upstreams_new((unsigned)size, 4);
	struct upstream_info view;
	double us = cpu_us();

	for (int k = 0; k < 10; k++) {
		for (unsigned i = 0; i < upstream_count(ups); i++)
			(void)upstream_get_info(
			    ups, upstream_at(ups, i), 1000, &view);
	}
	us = cpu_us() - us;
	upstream_close(ups);
	return (us / 10);
}

/* Taking one load report, without the HTTP request that brought it. */
static double
upstream_load(double size)
{
	struct upstream_table *ups = upstreams_new((unsigned)size, 4);
	double us = cpu_us();

	for (unsigned i = 0; i < 20000; i++) {
		struct upstream_load load = {
		    .active = i % 7, .waiting = i % 3, .capacity = 32};

		upstream_set_load(
		    ups, upstream_at(ups, i % (unsigned)size), &load, 1000);
	}
	us = cpu_us() - us;
	upstream_close(ups);
	return (us / 20000);
}

struct calls {
	struct upstream_table *ups;
	struct sched *sch;
	char (*organisations)[16];
	unsigned n_organisations;
	unsigned submitted;
	clk_ms now;
};

static void
call_submit(struct calls *calls)
{
	unsigned i = calls->submitted++;
	char program[PROG_ID_SIZE], model[16];
	struct sched_call call = {
	    .organisation = calls->organisations[i % calls->n_organisations],
	    .program = program,
	    .kind = UPSTREAM_MODEL,
	    .model = model,
	    .urgency = SCHED_CLASS_NORMAL,
	    .prompt_tokens = (int64_t)A_TOKENS_MEAN,
	    .max_tokens = 400};
	struct sched_handle handle;
	struct vd vd;

	(void)g_snprintf(program, sizeof(program), "p-01-0000-%020x",
	    i % (unsigned)T_PROGRAMS);
	(void)g_snprintf(model, sizeof(model), "chat-%u", i % 13);
	vd = sched_submit(calls->sch, &call, calls->now, &handle);
	g_assert(vd_is_ok(&vd));
}

/* Start what may start and let it succeed; returns the number. */
static size_t
calls_run(struct calls *calls, size_t max)
{
	struct sched_result result = {.outcome = SCHED_SUCCEEDED,
	    .reply = {.first_token = 300,
		.token_gap = 20,
		.prompt_tokens = (int64_t)A_TOKENS_MEAN,
		.answer_tokens = 400}};
	struct sched_start starts[64];
	size_t n = sched_dispatch(calls->sch, calls->now, starts, MIN(max, 64));
	struct vd vd;

	for (size_t i = 0; i < n; i++) {
		sched_report_first_token(calls->sch, starts[i].call);
		(void)sched_finish(
		    calls->sch, starts[i].call, &result, calls->now, &vd);
	}
	return (n);
}

static struct calls *
calls_new(unsigned upstreams, unsigned organisations)
{
	struct calls *calls = g_new0(struct calls, 1);
	struct sched_options options = {
	    .max_waiting = 100000, .max_waiting_per_organisation = 100000};

	calls->ups = upstreams_new(upstreams, 4);
	calls->sch = sched_open(calls->ups, &options);
	calls->n_organisations = organisations;
	calls->organisations =
	    g_malloc_n(organisations, sizeof(*calls->organisations));
	for (unsigned i = 0; i < organisations; i++)
		(void)g_snprintf(calls->organisations[i],
		    sizeof(calls->organisations[i]), "org-%06u", i);
	return (calls);
}

static void
calls_free(struct calls *calls)
{
	sched_close(calls->sch);
	upstream_close(calls->ups);
	g_free(calls->organisations);
	g_free(calls);
}

#define CALLS 4000

/* One call from submission to end, when no other waits. */
static double
call_by_upstreams(double size)
{
	struct calls *calls = calls_new((unsigned)size, 450);
	double us;

	for (int i = 0; i < CALLS; i++) {
		call_submit(calls);
		(void)calls_run(calls, 1);
	}
	us = cpu_us();
	for (int i = 0; i < CALLS; i++) {
		calls->now++;
		call_submit(calls);
		(void)calls_run(calls, 1);
	}
	us = cpu_us() - us;
	calls_free(calls);
	return (us / CALLS);
}

/* The same with one call of each organisation waiting. */
static double
call_by_organisations(double size)
{
	struct calls *calls = calls_new(2000, (unsigned)size);
	double us;

	for (unsigned i = 0; i < (unsigned)size; i++)
		call_submit(calls);
	us = cpu_us();
	for (int i = 0; i < CALLS; i++) {
		calls->now++;
		call_submit(calls);
		(void)calls_run(calls, 1);
	}
	us = cpu_us() - us;
	calls_free(calls);
	return (us / CALLS);
}

static double
call_memory(double size)
{
	struct calls *calls = calls_new(130, (unsigned)size);
	double bytes = heap_bytes();

	for (unsigned i = 0; i < (unsigned)size; i++)
		call_submit(calls);
	bytes = heap_bytes() - bytes;
	calls_free(calls);
	return (bytes);
}

/* The prefix index: so many programs with one holder each. */
static double
prefix_memory(double size)
{
	struct upstream_table *ups = upstreams_new(130, 4);
	double bytes = heap_bytes();
	char program[PROG_ID_SIZE];

	for (unsigned i = 0; i < (unsigned)size; i++) {
		(void)g_snprintf(
		    program, sizeof(program), "p-01-0000-%020x", i);
		upstream_prefix_add(ups, program, upstream_at(ups, i % 130));
	}
	bytes = heap_bytes() - bytes;
	upstream_close(ups);
	return (bytes);
}

/* Polls over HTTP. */

/* What a daemon sends and gets when it asks an engine for its load. */
static const char load_request[] = "GET /load HTTP/1.1\r\n"
				   "Host: 10.40.12.34:8000\r\n"
				   "Accept: */*\r\n\r\n";
static const char load_reply[] =
    "HTTP/1.1 200 OK\r\n"
    "Date: Fri, 04 Dec 2026 06:27:11 GMT\r\n"
    "Content-Type: application/json\r\n"
    "Content-Length: 112\r\n\r\n"
    "{\"active\":0,\"waiting\":0,\"capacity\":32,\"batch\":8,"
    "\"cache_tokens\":0,\"cache_limit\":200000,\"age_ms\":0,"
    "\"role\":\"mixed\"}";
/* The same for the cache events and for the log, with nothing new. */
static const char events_request[] =
    "GET /cache/events?from=123456 HTTP/1.1\r\n"
    "Host: 10.40.12.34:8000\r\n"
    "Accept: */*\r\n\r\n";
static const char events_reply[] = "HTTP/1.1 200 OK\r\n"
				   "Date: Fri, 04 Dec 2026 06:27:11 GMT\r\n"
				   "Content-Type: application/json\r\n"
				   "Content-Length: 42\r\n\r\n"
				   "{\"first\":120000,\"next\":123456,"
				   "\"events\":[]}";
static const char log_request[] =
    "GET /streams/config/records?from=1234567&max=256&wait_ms=500 "
    "HTTP/1.1\r\n"
    "Host: 10.30.0.1:17000\r\n"
    "Accept: */*\r\n\r\n";
static const char log_reply[] = "HTTP/1.1 200 OK\r\n"
				"Date: Fri, 04 Dec 2026 06:27:11 GMT\r\n"
				"Content-Type: application/json\r\n"
				"Content-Length: 46\r\n\r\n"
				"{\"first\":1200000,\"next\":1234567,"
				"\"records\":[]}";
/* Around each record of the log in a reply. */
static const char log_record[] =
    "{\"offset\":1234567,\"time_ms\":1796365631142,\"data\":},";

/* Answers on one connection until it is closed. */
static gpointer
poll_server(gpointer data)
{
	int listener = GPOINTER_TO_INT(data);
	int fd = accept(listener, NULL, NULL);
	char buf[4096];

	while (fd >= 0 && recv(fd, buf, sizeof(buf), 0) > 0)
		(void)send(
		    fd, load_reply, sizeof(load_reply) - 1, MSG_NOSIGNAL);
	if (fd >= 0)
		(void)close(fd);
	return (NULL);
}

struct polls {
	struct ev_loop *loop;
	struct hcl *hcl;
	char *url;
	unsigned left;
};

static void poll_next(struct polls *polls);

static void
poll_done(const struct hcl_result *result, void *arg)
{
	struct polls *polls = arg;
	json_t *body;

	if (result->status != 200) {
		(void)fprintf(stderr, "poll failed: %s\n", result->error);
		exit(1);
	}
	body = json_loadb(result->body, result->body_len, 0, NULL);
	json_decref(body);
	if (--polls->left == 0)
		ev_break(polls->loop, EVBREAK_ONE);
	else
		poll_next(polls);
}

static void
poll_next(struct polls *polls)
{
	struct hcl_request request = {.method = "GET",
	    .url = polls->url,
	    .timeout = 10 * CLK_SECOND,
	    .on_done = poll_done,
	    .arg = polls};

	(void)hcl_start(polls->hcl, &request);
}

/* Polls over one kept connection; processor time of the asking side only. */
static double
poll_time(double size)
{
	struct polls polls = {.left = (unsigned)size};
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct timespec before, after;
	GThread *thread;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (listener < 0 ||
	    bind(listener, (struct sockaddr *)&address, len) != 0 ||
	    listen(listener, 1) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &len) != 0) {
		perror("listen");
		exit(1);
	}
	thread = g_thread_new("server", poll_server, GINT_TO_POINTER(listener));
	polls.loop = ev_loop_new(EVFLAG_AUTO);
	polls.hcl = hcl_open(polls.loop);
	polls.url = g_strdup_printf(
	    "http://127.0.0.1:%u/load", (unsigned)ntohs(address.sin_port));
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
	poll_next(&polls);
	ev_run(polls.loop, 0);
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
	hcl_close(polls.hcl);
	ev_loop_destroy(polls.loop);
	(void)g_thread_join(thread);
	(void)close(listener);
	g_free(polls.url);
	return ((double)(after.tv_sec - before.tv_sec) * 1e6 +
	    (double)(after.tv_nsec - before.tv_nsec) / 1e3);
}

/* What the slopes come to for one daemon at the target size. */

struct estimate {
	double us; /* processor time a second */
	double bytes;
	double wire; /* bytes sent and received a second */
};

static const char *
within(double value, double limit)
{
	return (value <= limit ? "yes" : "NO");
}

static void
row(struct estimate *sum, const char *name, double us, double bytes,
    double wire)
{
	(void)printf("| %s | %.3f | %.2f | %.0f | %s | %s | %s |\n", name,
	    us / 1e4, bytes / 1048576, wire, within(us / 1e6, L_CORE),
	    within(bytes, L_BYTES), within(wire, L_WIRE));
	sum->us += us;
	sum->bytes += bytes;
	sum->wire += wire;
}

static void
row_payload(struct estimate *sum, const char *name, double us, double bytes,
    double wire)
{
	(void)printf("| %s | %.3f | %.2f | %.0f |\n", name, us / 1e4,
	    bytes / 1048576, wire);
	sum->us += us;
	sum->bytes += bytes;
	sum->wire += wire;
}

static void
head(const char *title, bool limits)
{
	(void)printf("\n%s\n\n| mechanism | core %% | MB | bytes/s |%s\n"
		     "|---|---|---|---|%s\n",
	    title, limits ? " core ok | memory ok | bytes ok |" : "",
	    limits ? "---|---|---|" : "");
}

/* Bytes of an HTTP request and its reply, each in one segment. */
#define POLL_BYTES(request, reply) \
	(sizeof(request) + sizeof(reply) - 2 + 2 * WIRE_TCP)

static double
exchange_bytes(double messages)
{
	return (messages + 2 * (WIRE_TLS + WIRE_TCP));
}

/* Records that one restart adds to the stream "fleet", at most. */
static double
restart_records(void)
{
	/*
	 * Open and close; for each owned shard a handover and a holders
	 * record, there and back; for each replica (two for each owned shard)
	 * a holders record, there and back.
	 */
	return (2 + A_SHARDS_OWNED * 4 + 2 * A_SHARDS_OWNED * 2);
}

static double
config_bytes(const struct table *t)
{
	return (at(t, "cfg_export_bytes", T_ORGANISATIONS) +
	    T_ORGANISATIONS * A_KEYS * slope(t, "cfg_key_bytes") +
	    T_WORKERS * slope(t, "cfg_upstream_bytes"));
}

static void
print_control(const struct table *t)
{
	struct estimate sum = {0};
	double watched = at(t, "own_watched_count", T_DATACENTRES * T_SHARDS);
	double rounds = (T_HERE - 1) * 4 + (T_DATACENTRES - 1) * 2 + watched;
	double exchange = exchange_bytes(slope(t, "heartbeat_bytes"));
	double shards = T_DATACENTRES * T_SHARDS;
	double fleet = restart_records() * T_STARTS / DAY;
	double changes = T_CHANGES / DAY;
	double active = T_REQUESTS * A_ACTIVE_SECONDS;
	double wishes = slope(t, "rate_wishes") * T_REQUESTS;
	double upstreams = T_WORKERS;

	head(
	    "Control of one daemon at the target size, as it runs today", true);
	row(&sum, "heartbeats to 66 here at 4/s, to others at 1/s",
	    rounds * slope(t, "link_time"), 0, 2 * rounds * exchange);
	row(&sum, "links to all 399 others", 0,
	    (T_DAEMONS - 1) * slope(t, "link_memory"), 0);
	row(&sum, "mem: mem_heartbeats 20/s, mem_list 10/s",
	    20 * at(t, "mem_heartbeats", T_DAEMONS) +
		10 * at(t, "mem_list", T_DAEMONS),
	    0, 0);
	row(&sum, "own: map and sessions, own_decide 10/s, own_watched 1/s",
	    10 * at(t, "own_decide_shards", shards) +
		at(t, "own_watched", shards),
	    at(t, "own_memory_shards", shards), 0);
	row(&sum, "rpl: scan of the shards here 50/s",
	    50 * at(t, "own_scan", T_SHARDS), 0, 0);
	row(&sum, "log: polls of two streams, one each 520 ms",
	    2 / 0.52 * slope(t, "poll_time"), 0,
	    2 / 0.52 * (double)POLL_BYTES(log_request, log_reply));
	row(&sum, "log: fleet records of 980 starts a day",
	    fleet * 32 * slope(t, "own_apply_claims"), 0,
	    fleet *
		(slope(t, "holders_record_bytes") + (double)sizeof(log_record) +
		    (double)POLL_BYTES(log_request, log_reply)));
	row(&sum, "log: 31,000 configuration changes a day",
	    changes * slope(t, "cfg_apply"), 0,
	    changes *
		(slope(t, "cfg_record_bytes") + (double)sizeof(log_record) +
		    (double)POLL_BYTES(log_request, log_reply)));
	row(&sum, "log: configuration snapshots, 6 each 10 min", 0, 0,
	    T_DATACENTRES * config_bytes(t) / 600);
	row(&sum, "log: snapshots of the shard map, 1 each 10 min", 0, 0,
	    at(t, "own_snapshot_bytes", shards) / 600);
	row(&sum, "configuration: 38,000 organisations, 2 keys each", 0,
	    at(t, "cfg_memory_organisations", T_ORGANISATIONS) +
		at(t, "cfg_memory_keys", T_ORGANISATIONS * A_KEYS),
	    0);
	row(&sum, "configuration: 12,000 upstreams", 0,
	    at(t, "cfg_memory_upstreams", upstreams), 0);
	row(&sum, "ups: 12,000 upstreams, ups_view of all 10/s",
	    10 * at(t, "upstream_scan", upstreams),
	    at(t, "upstream_memory", upstreams), 0);
	row(&sum, "load reports of 12,000 engines, 2/s each",
	    2 * upstreams *
		(slope(t, "poll_time") + at(t, "upstream_load", upstreams)),
	    0, 2 * upstreams * (double)POLL_BYTES(load_request, load_reply));
	row(&sum, "cache events of 12,000 engines, 1/s each",
	    upstreams * slope(t, "poll_time"), 0,
	    upstreams * (double)POLL_BYTES(events_request, events_reply));
	row(&sum, "rates: holder and coordinator, 45 requests/s",
	    T_REQUESTS * slope(t, "rate_round") +
		40 * at(t, "rate_tick", active) +
		wishes * slope(t, "link_time"),
	    at(t, "rate_memory_holder", active) +
		at(t, "rate_memory_coordinator", active),
	    2 * wishes * exchange_bytes(at(t, "grant_bytes", 1)));
	row(&sum, "prg_tick 1/s over owned programs",
	    at(t, "program_tick", T_PROGRAMS), 0, 0);
	row(&sum, "sum", sum.us, sum.bytes, sum.wire);
	(void)printf(
	    "\nOne heartbeat and its answer: %.0f bytes, %.0f with TLS and "
	    "TCP.  %.0f exchanges a second begun by a daemon, as many "
	    "answered; %.2f fit into 2 KB/s.  Other sessions watched: %.0f.\n"
	    "GRANT entries for one request: %.2f.\n",
	    slope(t, "heartbeat_bytes"), exchange, rounds,
	    L_WIRE / 2 / exchange, watched, slope(t, "rate_wishes"));
}

/*
 * The same with the replacements that docs/CAPACITY.md names.  The counts are
 * those of the proposal; the cost of each is a measured slope, except for the
 * two compact tables, whose entry sizes are part of the proposal.
 */
#define R_PARTNERS     3.0 /* instances that get heartbeats */
#define R_HEARTBEAT    2.0 /* seconds */
#define R_LINKS	       (T_HERE - 1 + 12)
#define R_RELAY	       5.0 /* seconds between batches of log records */
#define R_ENGINES      30.0 /* of 2,000 in the data centre, per daemon */
#define R_POLL	       30.0 /* seconds between polls of an engine without calls */
#define R_LENDING      5.0 /* seconds between GRANT messages to other centres */
#define R_KEY	       80.0 /* two hash slots of digest and index */
#define R_ORGANISATION 160.0 /* name, rate, burst, weight, home, flags */

static void
print_replaced(const struct table *t)
{
	struct estimate sum = {0};
	double shards = T_DATACENTRES * T_SHARDS;
	double fleet = restart_records() * T_STARTS / DAY;
	double changes = T_CHANGES / DAY;
	double active = T_REQUESTS * A_ACTIVE_SECONDS;
	double exchange = exchange_bytes(slope(t, "heartbeat_bytes_short"));
	double rounds = R_PARTNERS / R_HEARTBEAT;

	head("Control with the replacements of docs/CAPACITY.md (estimate)",
	    true);
	row(&sum, "short heartbeats to 3 partners, each 2 s",
	    rounds * slope(t, "link_time"), 0, 2 * rounds * exchange);
	row(&sum, "links to 78 others", 0, R_LINKS * slope(t, "link_memory"),
	    0);
	row(&sum, "mem and own, own_decide 1/s",
	    at(t, "own_decide_shards", shards) + at(t, "own_watched", shards) +
		at(t, "mem_heartbeats", T_DAEMONS),
	    at(t, "own_memory_shards", shards), 0);
	row(&sum, "log: one relay a data centre, batches each 5 s",
	    (fleet + changes) * 32 * slope(t, "own_apply_claims") +
		changes * slope(t, "cfg_apply") +
		slope(t, "link_time") / R_RELAY,
	    0,
	    fleet * slope(t, "holders_record_bytes") +
		changes * slope(t, "cfg_record_bytes") +
		2 * (WIRE_TLS + WIRE_TCP) / R_RELAY);
	row(&sum, "configuration: compact keys and organisations", 0,
	    T_ORGANISATIONS * (A_KEYS * R_KEY + R_ORGANISATION), 0);
	row(&sum, "configuration: the 2,000 upstreams here", 0,
	    at(t, "cfg_memory_upstreams", T_WORKERS_HERE), 0);
	row(&sum, "ups: 30 engines, load in the replies of calls",
	    R_ENGINES / R_POLL * slope(t, "poll_time"),
	    R_ENGINES * slope(t, "upstream_memory"),
	    R_ENGINES / R_POLL * (double)POLL_BYTES(load_request, load_reply));
	row(&sum, "rates: taken at the owner; lending each 5 s",
	    T_REQUESTS * slope(t, "rate_round") +
		4 * at(t, "rate_tick", active) +
		2 * slope(t, "link_time") / R_LENDING,
	    at(t, "rate_memory_holder", active) +
		at(t, "rate_memory_coordinator", active),
	    2 / R_LENDING * exchange_bytes(at(t, "grant_bytes", 1)));
	row(&sum, "sum", sum.us, sum.bytes, sum.wire);
}

static void
print_payload(const struct table *t)
{
	struct estimate sum = {0};
	double replicas = 2 * T_PROGRAMS;
	double turn = at(t, "program_turn_bytes", A_TOKENS_TURN);
	double tokens = 7200000.0 / T_DAEMONS;

	head("Payload of one daemon at the target size", false);
	row_payload(&sum, "owner: 1,550 programs, mean history", 0,
	    T_PROGRAMS * at(t, "program_memory_owner", A_TURNS_MEAN), 0);
	row_payload(&sum, "holder: 3,100 replicas, mean history", 0,
	    replicas * at(t, "program_memory_replica", A_TURNS_MEAN), 0);
	row_payload(&sum, "owner: 45 turns/s, mean history",
	    T_REQUESTS * at(t, "program_turn_owner", A_TURNS_MEAN), 0,
	    2 * T_REQUESTS * turn);
	row_payload(&sum, "holder: 90 turns/s, mean history",
	    2 * T_REQUESTS * at(t, "program_turn_holder", A_TURNS_MEAN), 0,
	    2 * T_REQUESTS * turn);
	row_payload(&sum, "REPLICATE messages, 2 for each turn and holder",
	    4 * T_REQUESTS * slope(t, "link_time"), 0,
	    4 * T_REQUESTS * 2 * (WIRE_TLS + WIRE_TCP));
	row_payload(&sum, "scheduler: 45 calls/s, 450 waiting or running",
	    T_REQUESTS *
		(at(t, "call_by_upstreams", T_WORKERS) +
		    at(t, "call_by_organisations", 450) -
		    at(t, "call_by_organisations", 1)),
	    at(t, "call_memory", T_REQUESTS * A_WINDOW_SECONDS) +
		at(t, "prefix_memory", T_PROGRAMS),
	    0);
	row_payload(&sum, "key look-up, 45/s",
	    T_REQUESTS * at(t, "cfg_key_find", T_ORGANISATIONS * A_KEYS) / 1000,
	    0, 0);
	row_payload(&sum, "prompts to engines, whole history each turn", 0, 0,
	    T_REQUESTS * A_TOKENS_MEAN * A_BYTES_TOKEN);
	row_payload(&sum, "STREAM, a message for each of 18,000 tokens/s",
	    tokens * slope(t, "link_time"), 0,
	    tokens * exchange_bytes(slope(t, "stream_bytes")));
	row_payload(&sum, "sum", sum.us, sum.bytes, sum.wire);
	(void)printf("\nThe largest program (290 turns, 220,000 tokens): "
		     "%.2f MB at its owner, %.2f MB at a holder; its next "
		     "turn %.0f us at the owner, %.0f us at a holder.  Mean "
		     "program (%.0f turns, %.0f tokens): %.2f MB, %.2f MB, "
		     "%.0f us, %.0f us.\nIf every program had the largest "
		     "history: %.0f MB owned, %.0f MB of replicas.\n",
	    at(t, "program_memory_owner", T_TURNS_MAX) / 1048576,
	    at(t, "program_memory_replica", T_TURNS_MAX) / 1048576,
	    at(t, "program_turn_owner", T_TURNS_MAX),
	    at(t, "program_turn_holder", T_TURNS_MAX), A_TURNS_MEAN,
	    A_TOKENS_MEAN,
	    at(t, "program_memory_owner", A_TURNS_MEAN) / 1048576,
	    at(t, "program_memory_replica", A_TURNS_MEAN) / 1048576,
	    at(t, "program_turn_owner", A_TURNS_MEAN),
	    at(t, "program_turn_holder", A_TURNS_MEAN),
	    T_PROGRAMS * at(t, "program_memory_owner", T_TURNS_MAX) / 1048576,
	    replicas * at(t, "program_memory_replica", T_TURNS_MAX) / 1048576);
}

static void
print_log(const struct table *t)
{
	double starts = T_STARTS / DAY;
	double config = config_bytes(t);
	double parts = ceil(config / (256 * 1024));
	double map_parts =
	    ceil(T_DATACENTRES * T_SHARDS / 256.0) + ceil(T_DAEMONS / 256);
	double survivors = T_DAEMONS - T_HERE;
	double lost = T_SHARDS;
	double batched = 3 * survivors + 1;
	double single = 3 * lost + 1;
	double day = starts * restart_records() + T_CHANGES / DAY +
	    T_DATACENTRES * parts / 600 + map_parts / 600;

	(void)printf("\nThe log at the target size (estimate)\n\n"
		     "| load | figure |\n|---|---|\n");
	(void)printf(
	    "| records of one restart, at most | %.0f |\n", restart_records());
	(void)printf("| fleet records of an ordinary day, appends/s | %.2f |\n",
	    starts * restart_records());
	(void)printf(
	    "| configuration changes, appends/s | %.2f |\n", T_CHANGES / DAY);
	(void)printf(
	    "| configuration snapshot, MB | %.1f |\n", config / 1048576);
	(void)printf("| its parts of 256 KB | %.0f |\n", parts);
	(void)printf("| configuration snapshots as today, appends/s | %.2f |\n",
	    T_DATACENTRES * parts / 600);
	(void)printf("| map snapshots, appends/s | %.2f |\n", map_parts / 600);
	(void)printf("| all appends/s of an ordinary day | %.2f |\n", day);
	(void)printf("| reads/s of all daemons, no records | %.0f |\n",
	    T_DAEMONS * 2 / 0.52);
	(void)printf("| reads/s of all daemons, with %.2f appends/s | %.0f |\n",
	    day, T_DAEMONS * (2 / 0.52 + day));
	(void)printf("| bytes/s out of the log, as today | %.0f |\n",
	    T_DAEMONS *
		(T_DATACENTRES * config / 600 +
		    at(t, "own_snapshot_bytes", T_DATACENTRES * T_SHARDS) /
			600 +
		    2 / 0.52 * (double)sizeof(log_reply)));
	(void)printf("| records after the loss of a data centre, batched | "
		     "%.0f |\n",
	    batched);
	(void)printf("| the same, one shard in a record | %.0f |\n", single);
	(void)printf("| appends/s, mean of that minute | %.1f to %.1f |\n",
	    batched / 60 + day, single / 60 + day);
	(void)printf("| claims sent in the first second | %.0f to %.0f |\n",
	    survivors, lost);
}

/* Bytes of small messages and records, by their number. */

static double
heartbeat_bytes_short(double size)
{
	struct peer_heartbeat_args args = {.sent_at = 1};
	struct peer_heartbeat_reply reply = {.sent_at = 1};
	size_t call_len, reply_len;

	args.state.name = (char *)(uintptr_t) "";
	args.state.datacentre = args.state.name;
	args.state.address = args.state.name;
	reply.state = args.state;
	g_free(rpc_msg_call_encode(
	    7, PEER_HEARTBEAT, &args, PEER_MAX_DATA, &call_len));
	g_free(rpc_msg_reply_encode(
	    7, PEER_HEARTBEAT, &reply, PEER_MAX_DATA, &reply_len));
	return (size * (double)(call_len + reply_len));
}

/* A STREAM call with one event of a token, and its reply. */
static double
stream_bytes(double size)
{
	static const char event[] =
	    "data: {\"id\":\"c-1\",\"object\":\"chat.completion.chunk\","
	    "\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"}}]}"
	    "\n\n";
	struct peer_stream_args args = {.session = 1,
	    .kind = PEER_STREAM_DATA,
	    .content_type = (char *)(uintptr_t) ""};
	struct peer_stream_reply reply = {.session = 1};
	size_t call_len, reply_len;

	args.data.data_len = sizeof(event) - 1;
	args.data.data_val = (char *)(uintptr_t)event;
	args.verdict.code = args.content_type;
	args.verdict.detail = args.content_type;
	g_free(rpc_msg_call_encode(
	    7, PEER_STREAM, &args, PEER_MAX_DATA, &call_len));
	g_free(rpc_msg_reply_encode(
	    7, PEER_STREAM, &reply, PEER_MAX_DATA, &reply_len));
	return (size * (double)(call_len + reply_len));
}

/* A record of the stream "fleet" that names the holders of one shard. */
static double
holders_record_bytes(double size)
{
	double bytes = 0;

	for (unsigned i = 0; i < (unsigned)size; i++) {
		json_t *record = claim_new(i + 1);
		char a[PLOG_SESSION_SIZE], b[PLOG_SESSION_SIZE];
		char *text;

		(void)json_array_append_new(json_object_get(record, "shards"),
		    json_pack("{s:i, s:i, s:i, s:[s, s]}", "datacentre", 3,
			"shard", 517, "epoch", 1234, "holders",
			plog_session_format(a, G_MAXUINT64 - i),
			plog_session_format(b, G_MAXUINT64 / 2 - i)));
		text = json_dumps(record, JSON_COMPACT);
		bytes += (double)strlen(text);
		free(text);
		json_decref(record);
	}
	return (bytes);
}

static double
cfg_records(double size, record_fn *record)
{
	double bytes = 0;

	for (unsigned i = 0; i < (unsigned)size; i++) {
		char *text = record(i);

		bytes += (double)strlen(text);
		g_free(text);
	}
	return (bytes);
}

static double
cfg_key_bytes(double size)
{
	return (cfg_records(size, key_record));
}

static double
cfg_upstream_bytes(double size)
{
	return (cfg_records(size, upstream_record));
}

int
main(int argc, char **argv)
{
	static const double shards[N_SIZES] = {
	    384, 768, 1536, 3072, 4608, 6144};
	static const double scan[N_SIZES] = {32, 64, 128, 256, 512, 1024};
	static const double sessions[N_SIZES] = {60, 100, 160, 240, 320, 400};
	static const double peers[N_SIZES] = {8, 16, 32, 48, 64, 96};
	static const double objects[N_SIZES] = {
	    2000, 5000, 10000, 20000, 30000, 38000};
	static const double keys[N_SIZES] = {
	    4000, 10000, 20000, 40000, 60000, 76000};
	static const double upstreams[N_SIZES] = {
	    750, 1500, 3000, 6000, 9000, 12000};
	static const double turns[N_SIZES] = {10, 40, 100, 160, 220, 289};
	static const double lengths[N_SIZES] = {10, 30, 60, 100, 150, 217};
	static const double tokens[N_SIZES] = {50, 200, 760, 2000, 8000, 32000};
	static const double programs[N_SIZES] = {
	    100, 250, 500, 1000, 1550, 2500};
	static const double active[N_SIZES] = {50, 225, 500, 1000, 2000, 4000};
	static const double requests[N_SIZES] = {
	    200, 450, 900, 1800, 3600, 7200};
	static const double few[N_SIZES] = {1, 2, 8, 32, 128, 512};
	static const double waiting[N_SIZES] = {50, 200, 450, 1000, 2000, 4000};
	struct table t = {
	    .values = argc > 1 && strcmp(argv[1], "--values") == 0};

	/* Sizes are in the unit given; us is processor time. */
	add(&t, "own_apply_sessions", "sessions", "us", sessions,
	    own_apply_sessions);
	add(&t, "own_apply_claims", "shards", "us", shards, own_apply_claims);
	add(&t, "own_memory_shards", "shards", "bytes", shards,
	    own_memory_shards);
	add(&t, "own_memory_sessions", "sessions", "bytes", sessions,
	    own_memory_sessions);
	add(&t, "own_decide_shards", "shards", "us a call", shards,
	    own_decide_shards);
	add(&t, "own_decide_sessions", "sessions", "us a call", sessions,
	    own_decide_sessions);
	add(&t, "own_watched", "shards", "us a call", shards, own_watched_call);
	add(&t, "own_watched_count", "shards", "sessions", shards,
	    own_watched_count);
	add(&t, "own_scan", "shards", "us a scan", scan, own_scan);
	add(&t, "own_snapshot_bytes", "shards", "bytes", shards,
	    own_snapshot_bytes);
	add(&t, "own_snapshot_time", "shards", "us", shards, own_snapshot_time);
	add(&t, "mem_heartbeats", "sessions", "us a call", sessions,
	    mem_heartbeats_call);
	add(&t, "mem_list", "sessions", "us a call", sessions, mem_list_call);
	add(&t, "heartbeat_time", "peers", "us a round", peers, heartbeat_time);
	add(&t, "heartbeat_bytes", "peers", "bytes a round", peers,
	    heartbeat_bytes);
	add(&t, "heartbeat_bytes_short", "peers", "bytes a round", peers,
	    heartbeat_bytes_short);
	add(&t, "link_time", "heartbeats", "us, both ends", peers, link_time);
	add(&t, "link_open_time", "links", "us, both ends", peers,
	    link_open_time);
	add(&t, "link_memory", "links", "bytes, both ends", peers, link_memory);
	add(&t, "stream_bytes", "messages", "bytes", few, stream_bytes);
	add(&t, "poll_time", "polls", "us", requests, poll_time);
	add(&t, "cfg_memory_organisations", "organisations", "bytes", objects,
	    cfg_memory_organisations);
	add(&t, "cfg_memory_keys", "keys", "bytes", keys, cfg_memory_keys);
	add(&t, "cfg_memory_upstreams", "upstreams", "bytes", upstreams,
	    cfg_memory_upstreams);
	add(&t, "cfg_apply", "records", "us", objects, cfg_apply_time);
	add(&t, "cfg_key_find", "keys", "ns a look-up", keys, cfg_key_time);
	add(&t, "cfg_export_bytes", "organisations", "bytes", objects,
	    cfg_export_bytes);
	add(&t, "cfg_export_time", "organisations", "us", objects,
	    cfg_export_time);
	add(&t, "cfg_record_bytes", "records", "bytes", objects,
	    cfg_record_bytes);
	add(&t, "cfg_key_bytes", "keys", "bytes", keys, cfg_key_bytes);
	add(&t, "cfg_upstream_bytes", "upstreams", "bytes", upstreams,
	    cfg_upstream_bytes);
	add(&t, "holders_record_bytes", "records", "bytes", few,
	    holders_record_bytes);
	add(&t, "program_memory_owner", "turns", "bytes", lengths,
	    program_memory_owner);
	add(&t, "program_memory_replica", "turns", "bytes", lengths,
	    program_memory_replica);
	add(&t, "program_counted_replica", "turns", "bytes", lengths,
	    program_counted_replica);
	add(&t, "program_memory_count", "programs", "bytes", programs,
	    program_memory_count);
	add(&t, "program_turn_owner", "turns before", "us a turn", turns,
	    program_turn_owner);
	add(&t, "program_turn_holder", "turns before", "us a turn", turns,
	    program_turn_holder);
	add(&t, "program_turn_bytes", "tokens of the turn", "bytes a holder",
	    tokens, program_turn_bytes);
	add(&t, "program_tick", "programs", "us a pass", programs,
	    program_tick);
	add(&t, "rate_round", "requests", "us", active, rate_round);
	add(&t, "rate_tick", "active organisations", "us a tick", active,
	    rate_tick);
	add(&t, "rate_memory_holder", "active organisations", "bytes", active,
	    rate_memory_holder);
	add(&t, "rate_memory_coordinator", "active organisations", "bytes",
	    active, rate_memory_coordinator);
	add(&t, "rate_wishes", "requests", "entries", requests, rate_wishes);
	add(&t, "grant_bytes", "entries", "bytes", few, grant_bytes);
	add(&t, "upstream_memory", "upstreams", "bytes", upstreams,
	    upstream_memory);
	add(&t, "upstream_scan", "upstreams", "us a scan", upstreams,
	    upstream_scan);
	add(&t, "upstream_load", "upstreams", "us a report", upstreams,
	    upstream_load);
	add(&t, "call_by_upstreams", "upstreams", "us a call", upstreams,
	    call_by_upstreams);
	add(&t, "call_by_organisations", "organisations waiting", "us a call",
	    waiting, call_by_organisations);
	add(&t, "call_memory", "calls waiting", "bytes", waiting, call_memory);
	add(&t, "prefix_memory", "programs", "bytes", programs, prefix_memory);

	print_lines(&t);
	print_control(&t);
	print_replaced(&t);
	print_payload(&t);
	print_log(&t);
	g_free(t.lines);
	return (0);
}
