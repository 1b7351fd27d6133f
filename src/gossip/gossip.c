#include "gossip/gossip.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossip/gossip_internal.h"

#define SEND_PERIOD_MS 200
/* The same in a large fleet, where a message takes two or three of them. */
#define SEND_PERIOD_RELAYED_MS 100
/* Cached parts of an instance's own state. */
#define STATE_PARTS_MAX 100
/* Cached parts from members that wait to be sent on. */
#define RELAYED_PARTS_MAX 4096
/* Age of the store's last answer up to which it serves an instance. */
#define STORE_SERVED_MS 700
/*
 * Messages of counts at a planned stop: 140 organisations, of which a message
 * takes 70.
 */
#define LEAVE_COUNTS 2
/*
 * Time after which the silence of an instance counts, and of a data centre in
 * a large fleet: one and a half intervals, and two more for the relays.
 */
#define PEER_PATIENCE_MS    300
#define SUMMARY_PATIENCE_MS 500

static const char *const list_names[GOSSIP_LISTS] = {"counts", "programs",
    "loads", "cached_parts", "crashes", "limits", "departures"};

static void
gossip_peer_free(void *data)
{
	struct gossip_peer *peer = data;

	g_free(peer->record);
	g_free(peer);
}

/* ---- Sending ---- */

/* What the lists of a message point to. */
struct lists {
	struct quota_count counts[GOSSIP_COUNTS_MAX];
	uint64_t programs[GOSSIP_PROGRAMS_MAX];
	struct place_load loads[GOSSIP_LOADS_MAX];
	struct place_cached_part cached_parts[GOSSIP_CACHED_PARTS_MAX];
	struct sched_crash crashes[GOSSIP_CRASHES_MAX];
	struct throttle_limit limits[GOSSIP_LIMITS_MAX];
	struct departure departures[GOSSIP_DEPARTURES_MAX];
	char *evacuated[EVACUATION_NAMES_MAX];
};

/*
 * Returns the number of entries to send, given that total entries exist of
 * which the list takes max; the others are left out of this message.
 */
static unsigned
list_len(struct gossip *gossip, enum gossip_list list, size_t total, size_t max)
{
	if (total <= max)
		return ((unsigned)total);
	cnt_add(gossip->left_out[list], (int64_t)(total - max));
	lg_event(gossip->deps.lg, LG_WARNING, "gossip_cut",
	    "list=%s sent=%zu left_out=%zu", list_names[list], max,
	    total - max);
	return ((unsigned)max);
}

static struct gossip_message
message_begin(const struct gossip *gossip, enum gossip_kind kind)
{
	clk_ms age = gossip->deps.store_age(gossip->deps.arg);

	return ((struct gossip_message){.kind = kind,
	    .name = gossip->name,
	    .incarnation = gossip->incarnation,
	    .datacentre = (char *)gossip->deps.datacentre,
	    .store_age = (uint32_t)CLAMP(age, 0, UINT32_MAX),
	    .absences = (struct roster_absence *)gossip->absences,
	    .absence_len = gossip->absence_len});
}

/* Adds what upstreams said and did, which every instance is to know. */
static void
news_collect(struct gossip *gossip, struct gossip_message *message,
    struct lists *lists, clk_ms now)
{
	message->crashes = lists->crashes;
	message->crash_len = list_len(gossip, GOSSIP_LIST_CRASHES,
	    crash_table_collect(
		gossip->deps.crashes, lists->crashes, GOSSIP_CRASHES_MAX),
	    GOSSIP_CRASHES_MAX);
	message->limits = lists->limits;
	message->limit_len = list_len(gossip, GOSSIP_LIST_LIMITS,
	    throttle_collect(
		gossip->deps.throttle, lists->limits, GOSSIP_LIMITS_MAX, now),
	    GOSSIP_LIMITS_MAX);
	message->departures = lists->departures;
	message->departure_len = list_len(gossip, GOSSIP_LIST_DEPARTURES,
	    departures_collect(place_departures(gossip->deps.place),
		lists->departures, GOSSIP_DEPARTURES_MAX, now),
	    GOSSIP_DEPARTURES_MAX);
	evacuations_collect(place_evacuations(gossip->deps.place),
	    &message->evacuations, lists->evacuated);
}

/* Adds this instance's load and the prompt parts that it sent. */
static void
load_collect(
    struct gossip *gossip, struct gossip_message *message, struct lists *lists)
{
	message->loads = lists->loads;
	message->load_len = list_len(gossip, GOSSIP_LIST_LOADS,
	    place_loads_collect(
		gossip->deps.place, lists->loads, GOSSIP_LOADS_MAX),
	    GOSSIP_LOADS_MAX);
	message->cached_parts = lists->cached_parts;
	message->cached_part_len = list_len(gossip, GOSSIP_LIST_CACHED_PARTS,
	    place_cached_parts_collect(
		gossip->deps.place, lists->cached_parts, STATE_PARTS_MAX),
	    STATE_PARTS_MAX);
}

static void
counts_collect(struct gossip *gossip, struct gossip_message *message,
    struct lists *lists, clk_ms now)
{
	message->counts = lists->counts;
	message->count_len = list_len(gossip, GOSSIP_LIST_COUNTS,
	    quota_report(
		gossip->deps.quota, lists->counts, GOSSIP_COUNTS_MAX, now),
	    GOSSIP_COUNTS_MAX);
	message->programs = lists->programs;
	message->program_len = list_len(gossip, GOSSIP_LIST_PROGRAMS,
	    active_programs_collect(
		gossip->deps.activity, lists->programs, GOSSIP_PROGRAMS_MAX),
	    GOSSIP_PROGRAMS_MAX);
}

static size_t
message_encode(struct gossip *gossip, char buf[GOSSIP_DATAGRAM_MAX],
    const struct gossip_message *message)
{
	size_t len = gossip_message_encode(buf, GOSSIP_DATAGRAM_MAX, message);

	if (len == 0)
		lg_event(gossip->deps.lg, LG_ERR, "gossip_too_long",
		    "kind=%u counts=%u programs=%u loads=%u cached_parts=%u "
		    "crashes=%u limits=%u departures=%u summaries=%u",
		    message->kind, message->count_len, message->program_len,
		    message->load_len, message->cached_part_len,
		    message->crash_len, message->limit_len,
		    message->departure_len, message->summary_len);
	return (len);
}

bool
gossip_send(struct gossip *gossip, const struct sockaddr_in *to,
    const void *data, size_t len)
{
	if (len == 0)
		return (false);
	cnt_add(gossip->sent_datagrams, 1);
	cnt_add(gossip->sent_bytes, (int64_t)len);
	/* The next datagram makes up for a lost one. */
	return (sendto(gossip->fd, data, len, MSG_DONTWAIT,
		    (const struct sockaddr *)to, sizeof(*to)) == (ssize_t)len);
}

static void
send_to_peer(
    struct gossip *gossip, const char *name, const void *data, size_t len)
{
	const struct gossip_peer *peer =
	    g_hash_table_lookup(gossip->peers, name);

	if (peer != NULL)
		(void)gossip_send(gossip, &peer->address, data, len);
}

/* A small fleet: all state to every instance. */
static void
mesh_send(struct gossip *gossip, clk_ms now)
{
	struct gossip_message message = message_begin(gossip, GOSSIP_STATE);
	struct lists lists;
	char buf[GOSSIP_DATAGRAM_MAX];
	GHashTableIter iter;
	void *value;
	size_t len;

	counts_collect(gossip, &message, &lists, now);
	load_collect(gossip, &message, &lists);
	news_collect(gossip, &message, &lists, now);
	len = message_encode(gossip, buf, &message);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gossip_peer *peer = value;

		(void)gossip_send(gossip, &peer->address, buf, len);
	}
}

static void
counts_send_to(struct gossip *gossip, const char *home, const GArray *counts)
{
	struct gossip_message message = message_begin(gossip, GOSSIP_COUNTS);
	char buf[GOSSIP_DATAGRAM_MAX];

	message.counts = (struct quota_count *)(void *)counts->data;
	message.count_len = counts->len;
	send_to_peer(gossip, home, buf, message_encode(gossip, buf, &message));
}

static void
counts_free(void *data)
{
	g_array_free(data, TRUE);
}

/* A large fleet: what a home admitted, to the other homes. */
static void
counts_send(struct gossip *gossip, clk_ms now)
{
	struct gossip_message message = {0};
	struct lists lists;
	g_autoptr(GHashTable) by_home =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, counts_free);
	GHashTableIter iter;
	void *key, *value;

	/* The homes know their programs by the questions for tokens. */
	counts_collect(gossip, &message, &lists, now);
	for (unsigned i = 0; i < message.count_len * ROSTER_HOMES; i++) {
		const struct quota_count *count =
		    &message.counts[i / ROSTER_HOMES];
		const char *home = roster_home(gossip->deps.roster,
		    count->limit.organisation, i % ROSTER_HOMES, now);
		GArray *counts;

		if (home == NULL)
			continue;
		counts = g_hash_table_lookup(by_home, home);
		if (counts == NULL) {
			counts = g_array_new(
			    FALSE, FALSE, sizeof(struct quota_count));
			(void)g_hash_table_insert(
			    by_home, (void *)home, counts);
		}
		g_array_append_val(counts, *count);
	}
	g_hash_table_iter_init(&iter, by_home);
	while (g_hash_table_iter_next(&iter, &key, &value))
		counts_send_to(gossip, key, value);
}

static void
summary_apply(
    struct gossip *gossip, const struct relay_summary *summary, clk_ms now)
{
	const struct gossip_deps *deps = &gossip->deps;
	const struct reach_news news = {summary->datacentre,
	    summary->datacentre, summary->member_len, summary->served,
	    SUMMARY_PATIENCE_MS};
	const struct roster_members members = {summary->datacentre,
	    summary->members, summary->member_len, (clk_ms)summary->age,
	    summary->relay};

	if (roster_members_heard(deps->roster, &members, now) > 0)
		gossip_records_read_soon(gossip, now);
	if (!relay_summary_merge(gossip->relay, summary, now))
		return;
	place_sum_merge(deps->place, summary->datacentre, summary->loads,
	    summary->load_len, now);
	reach_heard(deps->reach, &news, now - (clk_ms)summary->age);
}

static void
send_to_all(struct gossip *gossip, const GPtrArray *names,
    const struct gossip_message *message)
{
	char buf[GOSSIP_DATAGRAM_MAX];
	size_t len = names->len > 0 ? message_encode(gossip, buf, message) : 0;

	for (guint i = 0; i < names->len; i++)
		send_to_peer(gossip, names->pdata[i], buf, len);
}

static void
parts_add(struct outbox *parts, const struct gossip_message *message)
{
	for (unsigned i = 0; i < message->cached_part_len; i++)
		outbox_add(parts, &message->cached_parts[i]);
}

static void
parts_take(struct gossip *gossip, struct gossip_message *message,
    struct lists *lists, struct outbox *parts)
{
	message->cached_parts = lists->cached_parts;
	message->cached_part_len = list_len(gossip, GOSSIP_LIST_CACHED_PARTS,
	    outbox_take_once(
		parts, lists->cached_parts, GOSSIP_CACHED_PARTS_MAX),
	    GOSSIP_CACHED_PARTS_MAX);
}

/* A relay: the summary of its data centre, and what it knows of others. */
static void
relay_send(struct gossip *gossip, const struct relay_summary *own,
    struct gossip_message *message, struct lists *lists, clk_ms now)
{
	g_autoptr(GPtrArray) others = relay_others(gossip->relay, now);
	g_autoptr(GPtrArray) listeners = relay_listeners(gossip->relay, now);
	g_autoptr(GArray) summaries = relay_summaries(gossip->relay, now);
	struct relay_summary alone = *own;

	message->summaries = &alone;
	message->summary_len = 1;
	parts_take(gossip, message, lists, gossip->member_parts);
	send_to_all(gossip, others, message);
	parts_add(gossip->relayed_parts, message);
	g_array_append_val(summaries, alone);
	message->summaries = (struct relay_summary *)(void *)summaries->data;
	message->summary_len = MIN(summaries->len, RELAY_SUMMARIES_MAX);
	parts_take(gossip, message, lists, gossip->relayed_parts);
	send_to_all(gossip, listeners, message);
}

/* A large fleet: this instance's state to its relays, of which it may be one.
 */
static void
relayed_send(struct gossip *gossip, clk_ms now)
{
	struct gossip_message message = message_begin(gossip, GOSSIP_STATE);
	const char *targets[RELAY_TARGETS_MAX];
	size_t n = relay_targets(gossip->relay, now, targets);
	const struct relay_summary *own;
	struct lists lists;
	char buf[GOSSIP_DATAGRAM_MAX];
	size_t len;

	load_collect(gossip, &message, &lists);
	news_collect(gossip, &message, &lists, now);
	len = message_encode(gossip, buf, &message);
	for (size_t i = 0; i < n; i++) {
		if (strcmp(targets[i], gossip->name) != 0)
			send_to_peer(gossip, targets[i], buf, len);
	}
	relay_beat(gossip->relay, gossip->name,
	    message.store_age < STORE_SERVED_MS, message.loads,
	    message.load_len, now);
	if (!relay_is_acting(gossip->relay, now))
		return;
	parts_add(gossip->member_parts, &message);
	own = relay_summary_make(gossip->relay, now);
	if (own == NULL)
		return;
	summary_apply(gossip, own, now);
	message.kind = GOSSIP_RELAY;
	message.load_len = 0;
	relay_send(gossip, own, &message, &lists, now);
}

static void
absences_update(struct gossip *gossip, clk_ms now)
{
	struct roster *roster = gossip->deps.roster;

	roster_absence_update(roster, gossip->leaving, gossip->opened, now);
	gossip->absence_len =
	    (unsigned)MIN(roster_absences_collect(roster, gossip->absences,
			      GOSSIP_ABSENCES_MAX, now),
		GOSSIP_ABSENCES_MAX);
}

static void
state_send(struct gossip *gossip, clk_ms now)
{
	absences_update(gossip, now);
	if (roster_is_relayed(gossip->deps.roster)) {
		relayed_send(gossip, now);
		counts_send(gossip, now);
	} else {
		mesh_send(gossip, now);
	}
}

static void
send_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	clk_ms period = roster_is_relayed(gossip->deps.roster)
	    ? SEND_PERIOD_RELAYED_MS
	    : SEND_PERIOD_MS;

	(void)events;
	state_send(gossip, clk_now(&gossip->deps.clk));
	watcher->repeat = (double)period / (double)CLK_SECOND;
	ev_timer_again(loop, watcher);
}

void
gossip_send_now(struct gossip *gossip)
{
	clk_ms now = clk_now(&gossip->deps.clk);

	state_send(gossip, now);
	for (int i = 1; i < LEAVE_COUNTS; i++) {
		if (roster_is_relayed(gossip->deps.roster))
			counts_send(gossip, now);
	}
}

/* ---- Receiving ---- */

static void
evacuations_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	struct evacuations *evacuations = place_evacuations(gossip->deps.place);
	g_autofree char *names = NULL;
	char quoted[256];

	if (!evacuations_merge(evacuations, &message->evacuations, now) ||
	    !place_evacuations_apply(gossip->deps.place))
		return;
	names = evacuations_text(evacuations);
	lg_event(gossip->deps.lg, LG_NOTICE, "evacuation", "by=%s evacuated=%s",
	    message->name, lg_quote(quoted, sizeof(quoted), names));
	cnt_add(cnt_counter(gossip->deps.cnt, "evacuation_changes_total",
		    "Changes of the evacuated data centres, by source.",
		    "source", "gossip"),
	    1);
	cnt_set(cnt_gauge(gossip->deps.cnt, "evacuated_datacentres",
		    "Data centres that are evacuated.", NULL, NULL),
	    evacuations_count(evacuations));
}

static void
news_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	const struct gossip_deps *deps = &gossip->deps;
	unsigned leaving = place_leaving_merge(
	    deps->place, message->departures, message->departure_len, now);

	if (leaving > 0)
		lg_event(deps->lg, LG_NOTICE, "upstream_leaving",
		    "by=%s upstreams=%u", message->name, leaving);
	throttle_merge(
	    deps->throttle, message->limits, message->limit_len, now);
	evacuations_apply(gossip, message, now);
	for (unsigned i = 0; i < message->crash_len; i++) {
		const struct sched_crash *crash = &message->crashes[i];

		if (roster_is_relayed(deps->roster))
			crash_table_relay(deps->crashes, crash->fingerprint,
			    crash->upstream, now);
		else
			crash_table_add(deps->crashes, crash->fingerprint,
			    crash->upstream, false, now);
	}
}

/* The state of an instance, which tells every other one. */
static void
mesh_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	const struct gossip_deps *deps = &gossip->deps;
	const struct reach_news news = {message->name, message->datacentre, 1,
	    message->store_age < STORE_SERVED_MS, PEER_PATIENCE_MS};

	reach_heard(deps->reach, &news, now);
	quota_gossip_merge(deps->quota, message->name, message->incarnation,
	    message->counts, message->count_len, now);
	active_programs_merge(deps->activity, message->name, message->programs,
	    message->program_len, now);
	place_gossip_merge(
	    deps->place, message->name, message->loads, message->load_len, now);
	(void)place_cached_parts_merge(
	    deps->place, message->cached_parts, message->cached_part_len, now);
}

/* Takes the prompt parts; the news among them are passed on (nil: not). */
static void
parts_merge(struct gossip *gossip, struct outbox *passed_on,
    const struct gossip_message *message, clk_ms now)
{
	size_t news = place_cached_parts_merge(gossip->deps.place,
	    message->cached_parts, message->cached_part_len, now);

	for (size_t i = 0; passed_on != NULL && i < news; i++)
		outbox_add(passed_on, &message->cached_parts[i]);
}

/* The state of a member of this relay. */
static void
member_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	relay_beat(gossip->relay, message->name,
	    message->store_age < STORE_SERVED_MS, message->loads,
	    message->load_len, now);
	parts_merge(gossip, gossip->member_parts, message, now);
}

static void
relay_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	relay_heard(gossip->relay, message->name, now);
	for (unsigned i = 0; i < message->summary_len; i++)
		summary_apply(gossip, &message->summaries[i], now);
	/* The relays of a data centre get the same from its members. */
	parts_merge(gossip,
	    strcmp(message->datacentre, gossip->deps.datacentre) != 0
		? gossip->relayed_parts
		: NULL,
	    message, now);
}

static void
message_apply(struct gossip *gossip, const struct gossip_message *message,
    const struct sockaddr_in *from, clk_ms now)
{
	unsigned absent;

	/*
	 * A new instance finds the others in the store at once.  The others
	 * learn its address from its datagrams, before they read its record.
	 */
	if (!g_hash_table_contains(gossip->peers, message->name))
		gossip_peer_ensure(gossip, message->name, "datagram", now)
		    ->address = *from;
	roster_peer_heard(gossip->deps.roster, message->name, now);
	absent = roster_absences_merge(
	    gossip->deps.roster, message->absences, message->absence_len, now);
	if (absent > 0)
		lg_event(gossip->deps.lg, LG_INFO, "members_absent",
		    "by=%s begun=%u", message->name, absent);
	switch ((enum gossip_kind)message->kind) {
	case GOSSIP_STATE:
		if (roster_is_relayed(gossip->deps.roster))
			member_apply(gossip, message, now);
		else
			mesh_apply(gossip, message, now);
		break;
	case GOSSIP_COUNTS:
		quota_gossip_merge(gossip->deps.quota, message->name,
		    message->incarnation, message->counts, message->count_len,
		    now);
		break;
	case GOSSIP_RELAY:
		relay_apply(gossip, message, now);
		break;
	case GOSSIP_KINDS:
		break;
	}
	news_apply(gossip, message, now);
}

static void
readable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	char buf[GOSSIP_DATAGRAM_MAX];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	ssize_t len;

	(void)loop;
	(void)events;
	while ((len = recvfrom(gossip->fd, buf, sizeof(buf), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &from_len)) > 0) {
		struct gossip_message message;

		from_len = sizeof(from);
		if (gossip->deps.on_datagram(
			gossip->deps.arg, &from, buf, (size_t)len))
			continue;
		if (!gossip_message_decode(buf, (size_t)len, &message)) {
			lg_event(gossip->deps.lg, LG_WARNING,
			    "datagram_refused", "bytes=%zd", len);
			continue;
		}
		if (strcmp(message.name, gossip->name) != 0)
			message_apply(gossip, &message, &from,
			    clk_now(&gossip->deps.clk));
		gossip_message_clear(&message);
	}
}

bool
gossip_is_told(const struct gossip *gossip)
{
	return (!roster_is_relayed(gossip->deps.roster) ||
	    relay_is_heard(gossip->relay, clk_now(&gossip->deps.clk)));
}

bool
gossip_peer_address(
    const struct gossip *gossip, const char *name, struct sockaddr_in *address)
{
	const struct gossip_peer *peer =
	    g_hash_table_lookup(gossip->peers, name);

	if (peer == NULL || peer->is_dead)
		return (false);
	*address = peer->address;
	return (true);
}

static void
counters_open(struct gossip *gossip)
{
	struct cnt *cnt = gossip->deps.cnt;

	for (int i = 0; i < GOSSIP_LISTS; i++)
		gossip->left_out[i] = cnt_counter(cnt, "gossip_left_out_total",
		    "Entries left out of a message to the other instances.",
		    "list", list_names[i]);
	gossip->sent_datagrams = cnt_counter(cnt, "gossip_datagrams_total",
	    "Datagrams sent to other instances.", NULL, NULL);
	gossip->sent_bytes = cnt_counter(
	    cnt, "gossip_bytes_total", "Bytes of these datagrams.", NULL, NULL);
}

struct gossip *
gossip_open(const struct gossip_deps *deps, const char *name,
    uint64_t incarnation, const struct sockaddr_in *address)
{
	struct gossip *gossip;
	int saved;
	int fd;

	if (strlen(name) > GOSSIP_NAME_MAX ||
	    strlen(deps->datacentre) > GOSSIP_DATACENTRE_MAX) {
		errno = ENAMETOOLONG;
		return (NULL);
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (NULL);
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
		saved = errno;
		(void)close(fd);
		errno = saved;
		return (NULL);
	}
	gossip = g_new0(struct gossip, 1);
	gossip->deps = *deps;
	gossip->name = g_strdup(name);
	gossip->incarnation = incarnation;
	gossip->address = *address;
	gossip->fd = fd;
	gossip->opened = clk_now(&deps->clk);
	gossip->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, gossip_peer_free);
	gossip->relay = relay_open(name, deps->datacentre);
	gossip->member_parts =
	    outbox_open(sizeof(struct place_cached_part), RELAYED_PARTS_MAX);
	gossip->relayed_parts =
	    outbox_open(sizeof(struct place_cached_part), RELAYED_PARTS_MAX);
	counters_open(gossip);
	ev_io_init(&gossip->readable, readable_cb, fd, EV_READ);
	gossip->readable.data = gossip;
	ev_io_start(deps->loop, &gossip->readable);
	ev_timer_init(&gossip->send_timer, send_cb, 0.0, 0.0);
	gossip->send_timer.data = gossip;
	ev_timer_start(deps->loop, &gossip->send_timer);
	gossip_records_open(gossip);
	return (gossip);
}

void
gossip_close(struct gossip *gossip)
{
	if (gossip == NULL)
		return;
	gossip_records_close(gossip);
	ev_io_stop(gossip->deps.loop, &gossip->readable);
	ev_timer_stop(gossip->deps.loop, &gossip->send_timer);
	(void)close(gossip->fd);
	g_hash_table_destroy(gossip->peers);
	relay_close(gossip->relay);
	outbox_close(gossip->member_parts);
	outbox_close(gossip->relayed_parts);
	g_free(gossip->name);
	g_free(gossip);
}
