/*
 * The records of the instances in the store: how they find each other.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "gossip/gossip_internal.h"

/* Periods of renewing this instance's record and reading the others'. */
#define RENEW_PERIOD_MS 4000
#define READ_PERIOD_MS	2000
/* The same in a large fleet, whose relays name those that are alive. */
#define READ_PERIOD_RELAYED_MS 6000
/* Time between two reads for instances that are named and not known. */
#define READ_SOON_MS 1000
/* An instance whose record hasn't changed for this time is dead. */
#define RECORD_DEAD_MS 12000
/* The live instance with rank 0 removes its record after this time. */
#define RECORD_DROP_MS	 60000
#define STORE_TIMEOUT_MS 500

static const struct store_partition members_partition = {STORE_MEMBERS, 0};

/* What a record says: "ADDRESS PORT INCARNATION RENEWALS DATACENTRE WEIGHT". */
struct record {
	struct sockaddr_in address;
	char datacentre[GOSSIP_DATACENTRE_MAX + 1];
	unsigned weight;
};

static bool
record_parse(const char *text, struct record *record)
{
	char ip[INET_ADDRSTRLEN];
	const char *weight = strrchr(text, ' ');
	unsigned port;
	int at = 0;
	size_t len;

	memset(record, 0, sizeof(*record));
	record->address.sin_family = AF_INET;
	/* The name of the data centre may have spaces. */
	if (sscanf(text, "%15s %u %*u %*u%n", ip, &port, &at) != 2 || at == 0 ||
	    text[at] != ' ' || weight <= text + at + 1 ||
	    sscanf(weight, "%u", &record->weight) != 1 || port > 65535 ||
	    inet_pton(AF_INET, ip, &record->address.sin_addr) != 1)
		return (false);
	len = (size_t)(weight - (text + at + 1));
	if (len > GOSSIP_DATACENTRE_MAX)
		return (false);
	memcpy(record->datacentre, text + at + 1, len);
	record->address.sin_port = htons((uint16_t)port);
	return (true);
}

struct gossip_peer *
gossip_peer_ensure(
    struct gossip *gossip, const char *name, const char *by, clk_ms now)
{
	struct gossip_peer *peer = g_hash_table_lookup(gossip->peers, name);

	if (peer != NULL)
		return (peer);
	peer = g_new0(struct gossip_peer, 1);
	peer->changed = now;
	(void)g_hash_table_insert(gossip->peers, g_strdup(name), peer);
	lg_event(gossip->deps.lg, LG_NOTICE, "member_found", "name=%s by=%s",
	    name, by);
	return (peer);
}

static void
peer_update(
    struct gossip *gossip, const struct store_record *stored, clk_ms now)
{
	g_autofree char *text = g_strndup(stored->value, stored->len);
	struct gossip_peer *peer;
	struct record record;

	if (!record_parse(text, &record)) {
		lg_event(gossip->deps.lg, LG_WARNING, "member_unreadable",
		    "bytes=%zu", stored->len);
		return;
	}
	relay_member_set(
	    gossip->relay, stored->key, record.datacentre, record.weight);
	if (strcmp(stored->key, gossip->name) == 0)
		return;
	peer = gossip_peer_ensure(gossip, stored->key, "record", now);
	roster_peer_known(
	    gossip->deps.roster, stored->key, record.datacentre, now);
	if (g_strcmp0(peer->record, text) != 0) {
		g_free(peer->record);
		peer->record = g_steal_pointer(&text);
		peer->changed = now;
	}
	peer->address = record.address;
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
read_schedule(struct gossip *gossip, clk_ms delay)
{
	ev_timer_stop(gossip->deps.loop, &gossip->read_timer);
	ev_timer_set(
	    &gossip->read_timer, (double)delay / (double)CLK_SECOND, 0.0);
	ev_timer_start(gossip->deps.loop, &gossip->read_timer);
}

static void
on_record_written(void *arg, const struct store_reply *reply)
{
	struct gossip *gossip = arg;

	if (reply->status != STORE_OK)
		lg_event(gossip->deps.lg, LG_WARNING, "member_not_renewed",
		    "status=%d", reply->status);
	/* Of two that start at one moment, the later one finds the other. */
	if (gossip->renewals == 1 && !gossip->leaving)
		read_schedule(gossip, 0);
}

static void
record_write(struct gossip *gossip, const struct store_record *record)
{
	gossip->deps.store.ops->append(gossip->deps.store.impl,
	    &members_partition, STORE_ANY_END, record, 1, STORE_TIMEOUT_MS,
	    on_record_written, gossip);
}

/* Remove the records of instances that have been dead for long. */
static void
drop_dead_records(struct gossip *gossip, clk_ms now)
{
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct gossip_peer *peer = value;
		const struct store_record drop = {key, NULL, 0};

		if (peer->is_dead && now - peer->changed >= RECORD_DROP_MS)
			record_write(gossip, &drop);
	}
}

static clk_ms
read_period(const struct gossip *gossip)
{
	return (roster_is_relayed(gossip->deps.roster) && gossip->last_read > 0
		? READ_PERIOD_RELAYED_MS
		: READ_PERIOD_MS);
}

/* Counts the instances that are alive; *rank is this one's among them. */
static unsigned
peers_check(struct gossip *gossip, const struct store_reply *reply, clk_ms now,
    unsigned *rank)
{
	unsigned alive = 1;
	GHashTableIter iter;
	void *key, *value;

	*rank = 0;
	g_hash_table_iter_init(&iter, gossip->peers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct gossip_peer *peer = value;
		bool was_dead = peer->is_dead;

		if (store_reply_find(reply, key) == NULL) {
			lg_event(gossip->deps.lg, LG_NOTICE, "member_left",
			    "name=%s", (const char *)key);
			relay_member_remove(gossip->relay, key);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		peer->is_dead = now - peer->changed >= RECORD_DEAD_MS;
		if (peer->is_dead && !was_dead)
			lg_event(gossip->deps.lg, LG_NOTICE, "member_dead",
			    "name=%s unchanged_ms=%lld", (const char *)key,
			    (long long)(now - peer->changed));
		if (peer->is_dead) {
			relay_member_remove(gossip->relay, key);
			continue;
		}
		alive++;
		*rank += strcmp(key, gossip->name) < 0;
	}
	return (alive);
}

static void
on_records_read(void *arg, const struct store_reply *reply)
{
	struct gossip *gossip = arg;
	clk_ms now = clk_now(&gossip->deps.clk);
	clk_ms read_gap;
	unsigned alive, rank;

	if (reply->status != STORE_OK) {
		read_schedule(gossip, READ_PERIOD_MS);
		return;
	}
	/* While the store was unreachable, no record could be renewed. */
	read_gap = gossip->last_read > 0 ? now - gossip->last_read : 0;
	if (read_gap > 2 * read_period(gossip))
		peers_shift_changed(gossip, read_gap);
	gossip->last_read = now;
	for (size_t i = 0; i < reply->count; i++)
		peer_update(gossip, &reply->records[i], now);
	alive = peers_check(gossip, reply, now, &rank);
	if (rank == 0)
		drop_dead_records(gossip, now);
	roster_size_set(gossip->deps.roster, alive, now);
	quota_expire(gossip->deps.quota, now);
	gossip->deps.on_fleet(gossip->deps.arg, alive, rank);
	read_schedule(gossip, read_period(gossip));
}

static void
read_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;

	(void)loop;
	(void)events;
	gossip->deps.store.ops->read(gossip->deps.store.impl,
	    &members_partition, STORE_TIMEOUT_MS, on_records_read, gossip);
}

void
gossip_records_read_soon(struct gossip *gossip, clk_ms now)
{
	if (now - gossip->unknown_heard < READ_SOON_MS)
		return;
	gossip->unknown_heard = now;
	if (ev_is_active(&gossip->read_timer))
		read_schedule(gossip, 0);
}

static void
renew_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gossip *gossip = watcher->data;
	char ip[INET_ADDRSTRLEN];
	g_autofree char *value = NULL;
	struct store_record record = {gossip->name, NULL, 0};

	(void)loop;
	(void)events;
	if (gossip->leaving)
		return;
	(void)inet_ntop(AF_INET, &gossip->address.sin_addr, ip, sizeof(ip));
	value = g_strdup_printf("%s %u %llu %llu %s %u", ip,
	    (unsigned)ntohs(gossip->address.sin_port),
	    (unsigned long long)gossip->incarnation,
	    (unsigned long long)++gossip->renewals, gossip->deps.datacentre,
	    gossip->deps.weight);
	record.value = value;
	record.len = strlen(value);
	record_write(gossip, &record);
}

void
gossip_leave(struct gossip *gossip)
{
	const struct store_record record = {gossip->name, NULL, 0};

	gossip->leaving = true;
	record_write(gossip, &record);
	gossip_send_now(gossip);
}

void
gossip_records_open(struct gossip *gossip)
{
	relay_member_set(gossip->relay, gossip->name, gossip->deps.datacentre,
	    gossip->deps.weight);
	ev_timer_init(&gossip->renew_timer, renew_cb, 0.0,
	    (double)RENEW_PERIOD_MS / (double)CLK_SECOND);
	gossip->renew_timer.data = gossip;
	ev_timer_start(gossip->deps.loop, &gossip->renew_timer);
	ev_timer_init(&gossip->read_timer, read_cb, 0.0, 0.0);
	gossip->read_timer.data = gossip;
}

void
gossip_records_close(struct gossip *gossip)
{
	ev_timer_stop(gossip->deps.loop, &gossip->renew_timer);
	ev_timer_stop(gossip->deps.loop, &gossip->read_timer);
}
