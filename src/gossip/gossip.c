#include "gossip/gossip.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/dgram.h"

#define SEND_PERIOD_MS 200
/* Periods of renewing this instance's record and reading the others'. */
#define RENEW_PERIOD_MS 4000
#define READ_PERIOD_MS	2000
/* An instance whose record hasn't changed for this time is dead. */
#define RECORD_DEAD_MS 12000
/* The live instance with rank 0 removes its record after this time. */
#define RECORD_DROP_MS	 60000
#define STORE_TIMEOUT_MS 500
/* "SGO" and the version of the format. */
#define PROTOCOL_VERSION 0x53474f3bU

/* The lists of a message. */
enum gossip_list {
	GOSSIP_COUNTS,
	GOSSIP_PROGRAMS,
	GOSSIP_LOADS,
	GOSSIP_CACHED_PARTS,
	GOSSIP_CRASHES,
	GOSSIP_LIMITS,
	GOSSIP_DEPARTURES,
	GOSSIP_LISTS
};

static const char *const list_names[GOSSIP_LISTS] = {"counts", "programs",
    "loads", "cached_parts", "crashes", "limits", "departures"};

struct gossip_peer {
	struct sockaddr_in address;
	char *record;
	clk_ms changed; /* when the record was last seen to change */
	bool is_dead; /* its record has not changed for RECORD_DEAD_MS */
};

struct gossip {
	struct gossip_deps deps;
	char *name;
	uint64_t incarnation;
	struct sockaddr_in address;
	GHashTable *peers; /* name -> struct gossip_peer, without this one */
	struct ev_io readable;
	struct ev_timer send_timer;
	struct ev_timer renew_timer;
	struct ev_timer read_timer;
	uint64_t renewals;
	struct cnt_metric *left_out[GOSSIP_LISTS];
	clk_ms last_read; /* last successful read of the records; 0: none */
	int fd;
	bool leaving;
};

static void
gossip_peer_free(void *data)
{
	struct gossip_peer *peer = data;

	g_free(peer->record);
	g_free(peer);
}

static bool_t
xdr_count(XDR *xdrs, struct quota_count *count)
{
	return (xdr_uint32_t(xdrs, &count->limit.organisation) &&
	    xdr_uint32_t(xdrs, &count->limit.rate) &&
	    xdr_uint32_t(xdrs, &count->limit.burst) &&
	    xdr_uint32_t(xdrs, &count->period) &&
	    xdr_uint32_t(xdrs, &count->requested) &&
	    xdr_uint32_t(xdrs, &count->admitted) &&
	    xdr_uint32_t(xdrs, &count->programs));
}

static bool_t
xdr_load(XDR *xdrs, struct place_load *load)
{
	return (xdr_uint32_t(xdrs, &load->upstream) &&
	    xdr_uint32_t(xdrs, &load->running));
}

static bool_t
xdr_cached_part(XDR *xdrs, struct place_cached_part *part)
{
	return (xdr_uint64_t(xdrs, &part->part) &&
	    xdr_uint32_t(xdrs, &part->upstream));
}

static bool_t
xdr_crash(XDR *xdrs, struct sched_crash *crash)
{
	char *upstream = crash->upstream;

	return (xdr_opaque(xdrs, (char *)crash->fingerprint,
		    sizeof(crash->fingerprint)) &&
	    xdr_string(xdrs, &upstream, sizeof(crash->upstream) - 1));
}

static bool_t
xdr_limit(XDR *xdrs, struct throttle_limit *limit)
{
	return (xdr_uint32_t(xdrs, &limit->upstream) &&
	    xdr_uint32_t(xdrs, &limit->rate) &&
	    xdr_uint32_t(xdrs, &limit->age));
}

static bool_t
xdr_departure(XDR *xdrs, struct departure *departure)
{
	return (xdr_uint32_t(xdrs, &departure->upstream) &&
	    xdr_uint64_t(xdrs, &departure->started) &&
	    xdr_uint32_t(xdrs, &departure->age));
}

static bool_t
xdr_message(XDR *xdrs, void *data)
{
	struct gossip_message *message = data;

	return (xdr_string(xdrs, &message->name, GOSSIP_NAME_MAX) &&
	    xdr_uint64_t(xdrs, &message->incarnation) &&
	    xdr_string(xdrs, &message->datacentre, GOSSIP_DATACENTRE_MAX) &&
	    xdr_uint32_t(xdrs, &message->store_age) &&
	    xdr_array(xdrs, (char **)&message->counts, &message->count_len,
		GOSSIP_COUNTS_MAX, sizeof(*message->counts),
		(xdrproc_t)xdr_count) &&
	    xdr_array(xdrs, (char **)&message->programs, &message->program_len,
		GOSSIP_PROGRAMS_MAX, sizeof(*message->programs),
		(xdrproc_t)xdr_uint64_t) &&
	    xdr_array(xdrs, (char **)&message->loads, &message->load_len,
		GOSSIP_LOADS_MAX, sizeof(*message->loads),
		(xdrproc_t)xdr_load) &&
	    xdr_array(xdrs, (char **)&message->cached_parts,
		&message->cached_part_len, GOSSIP_CACHED_PARTS_MAX,
		sizeof(*message->cached_parts), (xdrproc_t)xdr_cached_part) &&
	    xdr_array(xdrs, (char **)&message->crashes, &message->crash_len,
		GOSSIP_CRASHES_MAX, sizeof(*message->crashes),
		(xdrproc_t)xdr_crash) &&
	    xdr_array(xdrs, (char **)&message->limits, &message->limit_len,
		GOSSIP_LIMITS_MAX, sizeof(*message->limits),
		(xdrproc_t)xdr_limit) &&
	    xdr_array(xdrs, (char **)&message->departures,
		&message->departure_len, GOSSIP_DEPARTURES_MAX,
		sizeof(*message->departures), (xdrproc_t)xdr_departure));
}

size_t
gossip_message_encode(
    char *buf, size_t size, const struct gossip_message *message)
{
	struct gossip_message copy = *message;

	return (dgram_encode(buf, size, PROTOCOL_VERSION, xdr_message, &copy));
}

bool
gossip_message_decode(char *buf, size_t len, struct gossip_message *message)
{
	bool ok;

	memset(message, 0, sizeof(*message));
	ok = dgram_decode(buf, len, PROTOCOL_VERSION, xdr_message, message);
	if (!ok)
		gossip_message_clear(message);
	return (ok);
}

void
gossip_message_clear(struct gossip_message *message)
{
	/* The XDR library allocates with malloc(). */
	free(message->name);
	free(message->datacentre);
	free(message->counts);
	free(message->programs);
	free(message->loads);
	free(message->cached_parts);
	free(message->crashes);
	free(message->limits);
	free(message->departures);
	memset(message, 0, sizeof(*message));
}

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

static void
send_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	struct quota_count counts[GOSSIP_COUNTS_MAX];
	uint64_t programs[GOSSIP_PROGRAMS_MAX];
	struct place_load loads[GOSSIP_LOADS_MAX];
	struct place_cached_part cached_parts[GOSSIP_CACHED_PARTS_MAX];
	struct sched_crash crashes[GOSSIP_CRASHES_MAX];
	struct throttle_limit limits[GOSSIP_LIMITS_MAX];
	struct departure departures[GOSSIP_DEPARTURES_MAX];
	clk_ms now = clk_now(&gossip->deps.clk);
	struct gossip_message message = {.name = gossip->name,
	    .incarnation = gossip->incarnation,
	    .datacentre = (char *)gossip->deps.datacentre,
	    .store_age = (uint32_t)CLAMP(
		gossip->deps.store_age(gossip->deps.arg), 0, UINT32_MAX),
	    .counts = counts,
	    .programs = programs,
	    .loads = loads,
	    .cached_parts = cached_parts,
	    .crashes = crashes,
	    .limits = limits,
	    .departures = departures};
	char buf[GOSSIP_DATAGRAM_MAX];
	GHashTableIter iter;
	void *value;
	size_t len;

	(void)loop;
	(void)events;
	message.count_len = list_len(gossip, GOSSIP_COUNTS,
	    quota_report(gossip->deps.quota, counts, GOSSIP_COUNTS_MAX, now),
	    GOSSIP_COUNTS_MAX);
	message.program_len = list_len(gossip, GOSSIP_PROGRAMS,
	    active_programs_collect(
		gossip->deps.activity, programs, GOSSIP_PROGRAMS_MAX),
	    GOSSIP_PROGRAMS_MAX);
	message.load_len = list_len(gossip, GOSSIP_LOADS,
	    place_loads_collect(gossip->deps.place, loads, GOSSIP_LOADS_MAX),
	    GOSSIP_LOADS_MAX);
	message.cached_part_len = list_len(gossip, GOSSIP_CACHED_PARTS,
	    place_cached_parts_collect(
		gossip->deps.place, cached_parts, GOSSIP_CACHED_PARTS_MAX),
	    GOSSIP_CACHED_PARTS_MAX);
	message.crash_len = list_len(gossip, GOSSIP_CRASHES,
	    crash_table_collect(
		gossip->deps.crashes, crashes, GOSSIP_CRASHES_MAX),
	    GOSSIP_CRASHES_MAX);
	message.limit_len = list_len(gossip, GOSSIP_LIMITS,
	    throttle_collect(
		gossip->deps.throttle, limits, GOSSIP_LIMITS_MAX, now),
	    GOSSIP_LIMITS_MAX);
	message.departure_len = list_len(gossip, GOSSIP_DEPARTURES,
	    departures_collect(place_departures(gossip->deps.place), departures,
		GOSSIP_DEPARTURES_MAX, now),
	    GOSSIP_DEPARTURES_MAX);
	len = gossip_message_encode(buf, sizeof(buf), &message);
	if (len == 0)
		lg_event(gossip->deps.lg, LG_ERR, "gossip_too_long",
		    "counts=%u programs=%u loads=%u cached_parts=%u crashes=%u "
		    "limits=%u departures=%u",
		    message.count_len, message.program_len, message.load_len,
		    message.cached_part_len, message.crash_len,
		    message.limit_len, message.departure_len);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gossip_peer *peer = value;

		/* The next datagram makes up for a lost one. */
		(void)sendto(gossip->fd, buf, len, MSG_DONTWAIT,
		    (const struct sockaddr *)&peer->address,
		    sizeof(peer->address));
	}
}

static void
crashes_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	for (unsigned i = 0; i < message->crash_len; i++)
		crash_table_add(gossip->deps.crashes,
		    message->crashes[i].fingerprint,
		    message->crashes[i].upstream, false, now);
}

static void
departures_apply(
    struct gossip *gossip, const struct gossip_message *message, clk_ms now)
{
	unsigned news = place_leaving_merge(gossip->deps.place,
	    message->departures, message->departure_len, now);

	if (news > 0)
		lg_event(gossip->deps.lg, LG_NOTICE, "upstream_leaving",
		    "by=%s upstreams=%u", message->name, news);
}

/*
 * A new instance finds the others in the store at once.  The others learn its
 * address from its first datagram, before they read its record.
 */
static void
gossip_peer_add(struct gossip *gossip, const char *name,
    const struct sockaddr_in *from, clk_ms now)
{
	struct gossip_peer *peer;

	if (g_hash_table_contains(gossip->peers, name))
		return;
	peer = g_new0(struct gossip_peer, 1);
	peer->address = *from;
	peer->changed = now;
	(void)g_hash_table_insert(gossip->peers, g_strdup(name), peer);
	lg_event(gossip->deps.lg, LG_NOTICE, "member_found",
	    "name=%s by=datagram", name);
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
		clk_ms now = clk_now(&gossip->deps.clk);

		from_len = sizeof(from);
		if (gossip->deps.on_datagram(
			gossip->deps.arg, &from, buf, (size_t)len))
			continue;
		if (!gossip_message_decode(buf, (size_t)len, &message)) {
			lg_event(gossip->deps.lg, LG_WARNING,
			    "datagram_refused", "bytes=%zd", len);
			continue;
		}
		if (strcmp(message.name, gossip->name) != 0) {
			gossip_peer_add(gossip, message.name, &from, now);
			roster_peer_heard(
			    gossip->deps.roster, message.name, now);
			reach_peer_heard(gossip->deps.reach, message.name,
			    message.datacentre, (clk_ms)message.store_age, now);
			quota_gossip_merge(gossip->deps.quota, message.name,
			    message.incarnation, message.counts,
			    message.count_len, now);
			active_programs_merge(gossip->deps.activity,
			    message.name, message.programs, message.program_len,
			    now);
			place_gossip_merge(gossip->deps.place, message.name,
			    message.loads, message.load_len,
			    message.cached_parts, message.cached_part_len, now);
			throttle_merge(gossip->deps.throttle, message.limits,
			    message.limit_len, now);
			departures_apply(gossip, &message, now);
			crashes_apply(gossip, &message, now);
		}
		gossip_message_clear(&message);
	}
}

/* A record is "ADDRESS PORT INCARNATION RENEWALS". */
static bool
record_parse(const char *record, struct sockaddr_in *address)
{
	char ip[INET_ADDRSTRLEN];
	unsigned port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (sscanf(record, "%15s %u", ip, &port) != 2 || port > 65535 ||
	    inet_pton(AF_INET, ip, &address->sin_addr) != 1)
		return (false);
	address->sin_port = htons((uint16_t)port);
	return (true);
}

static void
gossip_peer_update(
    struct gossip *gossip, const struct store_record *record, clk_ms now)
{
	struct gossip_peer *peer =
	    g_hash_table_lookup(gossip->peers, record->key);
	g_autofree char *text = g_strndup(record->value, record->len);
	struct sockaddr_in address;

	if (strcmp(record->key, gossip->name) == 0)
		return;
	if (!record_parse(text, &address)) {
		lg_event(gossip->deps.lg, LG_WARNING, "member_unreadable",
		    "bytes=%zu", record->len);
		return;
	}
	if (peer == NULL) {
		peer = g_new0(struct gossip_peer, 1);
		(void)g_hash_table_insert(
		    gossip->peers, g_strdup(record->key), peer);
		lg_event(gossip->deps.lg, LG_NOTICE, "member_found", "name=%s",
		    record->key);
	}
	if (g_strcmp0(peer->record, text) != 0) {
		g_free(peer->record);
		peer->record = g_steal_pointer(&text);
		peer->changed = now;
	}
	peer->address = address;
}

static void
peers_shift_changed(struct gossip *gossip, clk_ms by)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct gossip_peer *)value)->changed += by;
}

static void
on_record_written(void *arg, const struct store_reply *reply)
{
	struct gossip *gossip = arg;

	if (reply->status != STORE_OK)
		lg_event(gossip->deps.lg, LG_WARNING, "member_not_renewed",
		    "status=%d", reply->status);
}

/* Remove the records of instances that have been dead for long. */
static void
drop_dead_records(struct gossip *gossip, clk_ms now)
{
	const struct store_partition partition = {STORE_MEMBERS, 0};
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct gossip_peer *peer = value;
		const struct store_record drop = {key, NULL, 0};

		if (peer->is_dead && now - peer->changed >= RECORD_DROP_MS)
			gossip->deps.store.ops->append(gossip->deps.store.impl,
			    &partition, STORE_ANY_END, &drop, 1,
			    STORE_TIMEOUT_MS, on_record_written, gossip);
	}
}

static void
on_records_read(void *arg, const struct store_reply *reply)
{
	struct gossip *gossip = arg;
	clk_ms now = clk_now(&gossip->deps.clk);
	GHashTableIter iter;
	void *key, *value;
	unsigned alive = 1;
	unsigned rank = 0;
	clk_ms read_gap;

	if (reply->status != STORE_OK)
		return;
	/* While the store was unreachable, no record could be renewed. */
	read_gap = gossip->last_read > 0 ? now - gossip->last_read : 0;
	gossip->last_read = now;
	if (read_gap > 2 * READ_PERIOD_MS)
		peers_shift_changed(gossip, read_gap);
	for (size_t i = 0; i < reply->count; i++)
		gossip_peer_update(gossip, &reply->records[i], now);
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct gossip_peer *peer = value;
		bool was_dead = peer->is_dead;

		if (store_reply_find(reply, key) == NULL) {
			lg_event(gossip->deps.lg, LG_NOTICE, "member_left",
			    "name=%s", (const char *)key);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		peer->is_dead = now - peer->changed >= RECORD_DEAD_MS;
		if (peer->is_dead && !was_dead)
			lg_event(gossip->deps.lg, LG_NOTICE, "member_dead",
			    "name=%s unchanged_ms=%lld", (const char *)key,
			    (long long)(now - peer->changed));
		if (peer->is_dead)
			continue;
		alive++;
		rank += strcmp(key, gossip->name) < 0;
	}
	if (rank == 0)
		drop_dead_records(gossip, now);
	roster_size_set(gossip->deps.roster, alive, now);
	quota_expire(gossip->deps.quota, now);
	gossip->deps.on_fleet(gossip->deps.arg, alive, rank);
}

static void
read_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	const struct store_partition partition = {STORE_MEMBERS, 0};

	(void)loop;
	(void)events;
	gossip->deps.store.ops->read(gossip->deps.store.impl, &partition,
	    STORE_TIMEOUT_MS, on_records_read, gossip);
}

static void
renew_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	const struct store_partition partition = {STORE_MEMBERS, 0};
	char ip[INET_ADDRSTRLEN];
	char value[128];
	struct store_record record = {gossip->name, value, 0};

	(void)loop;
	(void)events;
	if (gossip->leaving)
		return;
	(void)inet_ntop(AF_INET, &gossip->address.sin_addr, ip, sizeof(ip));
	record.len = (size_t)snprintf(value, sizeof(value), "%s %u %llu %llu",
	    ip, (unsigned)ntohs(gossip->address.sin_port),
	    (unsigned long long)gossip->incarnation,
	    (unsigned long long)++gossip->renewals);
	gossip->deps.store.ops->append(gossip->deps.store.impl, &partition,
	    STORE_ANY_END, &record, 1, STORE_TIMEOUT_MS, on_record_written,
	    gossip);
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

bool
gossip_send(struct gossip *gossip, const struct sockaddr_in *to,
    const void *data, size_t len)
{
	return (sendto(gossip->fd, data, len, MSG_DONTWAIT,
		    (const struct sockaddr *)to, sizeof(*to)) == (ssize_t)len);
}

void
gossip_leave(struct gossip *gossip)
{
	const struct store_partition partition = {STORE_MEMBERS, 0};
	const struct store_record record = {gossip->name, NULL, 0};

	gossip->leaving = true;
	gossip->deps.store.ops->append(gossip->deps.store.impl, &partition,
	    STORE_ANY_END, &record, 1, STORE_TIMEOUT_MS, on_record_written,
	    gossip);
}

static void
timer_start(struct gossip *gossip, struct ev_timer *timer,
    void (*cb)(struct ev_loop *, struct ev_timer *, int), clk_ms period)
{
	ev_timer_init(timer, cb, 0.0, (double)period / 1000.0);
	timer->data = gossip;
	ev_timer_start(gossip->deps.loop, timer);
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
	gossip->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, gossip_peer_free);
	for (int i = 0; i < GOSSIP_LISTS; i++)
		gossip->left_out[i] =
		    cnt_counter(deps->cnt, "gossip_left_out_total",
			"Entries left out of a message to the other instances.",
			"list", list_names[i]);
	ev_io_init(&gossip->readable, readable_cb, fd, EV_READ);
	gossip->readable.data = gossip;
	ev_io_start(deps->loop, &gossip->readable);
	timer_start(gossip, &gossip->send_timer, send_cb, SEND_PERIOD_MS);
	timer_start(gossip, &gossip->renew_timer, renew_cb, RENEW_PERIOD_MS);
	timer_start(gossip, &gossip->read_timer, read_cb, READ_PERIOD_MS);
	return (gossip);
}

void
gossip_close(struct gossip *gossip)
{
	if (gossip == NULL)
		return;
	ev_io_stop(gossip->deps.loop, &gossip->readable);
	ev_timer_stop(gossip->deps.loop, &gossip->send_timer);
	ev_timer_stop(gossip->deps.loop, &gossip->renew_timer);
	ev_timer_stop(gossip->deps.loop, &gossip->read_timer);
	(void)close(gossip->fd);
	g_hash_table_destroy(gossip->peers);
	g_free(gossip->name);
	g_free(gossip);
}
