#include "gossip/gsp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "budget/loan.h"

/* Period at which instances tell each other, in ms. */
#define TELL_PERIOD_MS 200
/* Periods of this instance's record and of reading the others', in ms. */
#define RENEW_PERIOD_MS 4000
#define READ_PERIOD_MS	2000
/* A record that has not changed for this time is of an instance that died. */
#define RECORD_DEAD_MS 12000
/* The first of the others drops its record after this time. */
#define RECORD_FORGET_MS 60000
#define STORE_TIMEOUT_MS 500
/*
 * Bytes of a datagram, and the most that it holds of each kind: what an
 * instance of the users' deployments has to tell, several times over.
 */
#define DATAGRAM_MAX   4096
#define COUNTS_MAX     70
#define PROGRAMS_MAX   60
#define LOADS_MAX      60
#define KEPT_MAX       100
#define CRASHES_MAX    8
#define NAME_MAX_BYTES 128
/* "SGO" and a number that changes with the format. */
#define PROTOCOL_VERSION 0x53474f35U

struct member {
	struct sockaddr_in address;
	char *record;
	clk_ms changed; /* when the record was last seen to change */
	bool is_dead; /* its record is no longer renewed */
};

struct gsp {
	struct gsp_deps deps;
	char *name;
	uint64_t incarnation;
	struct sockaddr_in address;
	GHashTable *members; /* name -> struct member, without this one */
	struct ev_io readable;
	struct ev_timer tell;
	struct ev_timer renew;
	struct ev_timer read;
	uint64_t renewals;
	clk_ms last_read; /* of the members, that succeeded; 0: none */
	int fd;
	bool leaving;
};

static void
member_free(void *data)
{
	struct member *member = data;

	g_free(member->record);
	g_free(member);
}

static bool_t
xdr_count(XDR *xdrs, struct quota_count *count)
{
	return (xdr_uint32_t(xdrs, &count->organisation) &&
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
xdr_kept(XDR *xdrs, struct place_cached_part *kept)
{
	return (xdr_uint64_t(xdrs, &kept->part) &&
	    xdr_uint32_t(xdrs, &kept->upstream));
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
xdr_news(XDR *xdrs, uint32_t *version, struct gsp_news *news)
{
	return (xdr_uint32_t(xdrs, version) &&
	    xdr_string(xdrs, &news->name, NAME_MAX_BYTES) &&
	    xdr_uint64_t(xdrs, &news->incarnation) &&
	    xdr_array(xdrs, (char **)&news->counts, &news->count_len,
		COUNTS_MAX, sizeof(*news->counts), (xdrproc_t)xdr_count) &&
	    xdr_array(xdrs, (char **)&news->programs, &news->program_len,
		PROGRAMS_MAX, sizeof(*news->programs),
		(xdrproc_t)xdr_uint64_t) &&
	    xdr_array(xdrs, (char **)&news->loads, &news->load_len, LOADS_MAX,
		sizeof(*news->loads), (xdrproc_t)xdr_load) &&
	    xdr_array(xdrs, (char **)&news->kept, &news->kept_len, KEPT_MAX,
		sizeof(*news->kept), (xdrproc_t)xdr_kept) &&
	    xdr_array(xdrs, (char **)&news->crashes, &news->crash_len,
		CRASHES_MAX, sizeof(*news->crashes), (xdrproc_t)xdr_crash));
}

size_t
gsp_encode(char *buf, size_t size, const struct gsp_news *news)
{
	XDR xdrs;
	uint32_t version = PROTOCOL_VERSION;
	struct gsp_news copy = *news;
	size_t len = 0;

	xdrmem_create(&xdrs, buf, (u_int)size, XDR_ENCODE);
	if (xdr_news(&xdrs, &version, &copy))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return (len);
}

bool
gsp_decode(char *buf, size_t len, struct gsp_news *news)
{
	XDR xdrs;
	uint32_t version = 0;
	bool ok;

	memset(news, 0, sizeof(*news));
	xdrmem_create(&xdrs, buf, (u_int)len, XDR_DECODE);
	ok = xdr_news(&xdrs, &version, news) && version == PROTOCOL_VERSION;
	xdr_destroy(&xdrs);
	if (!ok)
		gsp_news_clear(news);
	return (ok);
}

void
gsp_news_clear(struct gsp_news *news)
{
	/* The XDR library allocates with malloc(). */
	free(news->name);
	free(news->counts);
	free(news->programs);
	free(news->loads);
	free(news->kept);
	free(news->crashes);
	memset(news, 0, sizeof(*news));
}

static void
tell_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gsp *gsp = watcher->data;
	struct quota_count counts[COUNTS_MAX];
	uint64_t programs[PROGRAMS_MAX];
	struct place_load loads[LOADS_MAX];
	struct place_cached_part kept[KEPT_MAX];
	struct sched_crash crashes[CRASHES_MAX];
	clk_ms now = clk_now(&gsp->deps.clk);
	struct gsp_news news = {.name = gsp->name,
	    .incarnation = gsp->incarnation,
	    .counts = counts,
	    .programs = programs,
	    .loads = loads,
	    .kept = kept,
	    .crashes = crashes};
	char buf[DATAGRAM_MAX];
	GHashTableIter iter;
	void *value;
	size_t len;

	(void)loop;
	(void)events;
	news.count_len =
	    (unsigned)quota_counts_collect(gsp->deps.qta, counts, COUNTS_MAX);
	news.program_len = (unsigned)active_programs_collect(
	    gsp->deps.act, programs, PROGRAMS_MAX);
	news.load_len =
	    (unsigned)place_loads_collect(gsp->deps.plc, loads, LOADS_MAX);
	news.kept_len =
	    (unsigned)place_cached_parts_collect(gsp->deps.plc, kept, KEPT_MAX);
	news.crash_len = (unsigned)crash_table_list(
	    gsp->deps.crashes, now - 2 * TELL_PERIOD_MS, crashes, CRASHES_MAX);
	len = gsp_encode(buf, sizeof(buf), &news);
	quota_tick(gsp->deps.qta);
	g_hash_table_iter_init(&iter, gsp->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		/* A lost datagram is made up for by the next one. */
		(void)sendto(gsp->fd, buf, len, MSG_DONTWAIT,
		    (const struct sockaddr *)&member->address,
		    sizeof(member->address));
	}
}

static void
crashes_heard(struct gsp *gsp, const struct gsp_news *news, clk_ms now)
{
	for (unsigned i = 0; i < news->crash_len; i++)
		crash_table_add(gsp->deps.crashes, news->crashes[i].fingerprint,
		    news->crashes[i].upstream, false, now);
}

/*
 * An instance that has just started finds the others in the store at once,
 * and they find it by what it tells.
 */
static void
member_heard(struct gsp *gsp, const char *name, const struct sockaddr_in *from,
    clk_ms now)
{
	struct member *member;

	if (g_hash_table_contains(gsp->members, name))
		return;
	member = g_new0(struct member, 1);
	member->address = *from;
	member->changed = now;
	(void)g_hash_table_insert(gsp->members, g_strdup(name), member);
	lg_event(gsp->deps.lg, LG_NOTICE, "member_found", "name=%s by=datagram",
	    name);
}

static void
readable_cb(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct gsp *gsp = watcher->data;
	char buf[DATAGRAM_MAX];
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	ssize_t len;

	(void)loop;
	(void)events;
	while ((len = recvfrom(gsp->fd, buf, sizeof(buf), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &from_len)) > 0) {
		struct gsp_news news;
		clk_ms now = clk_now(&gsp->deps.clk);

		from_len = sizeof(from);
		if (loan_is_message(buf, (size_t)len)) {
			gsp->deps.on_loan(
			    gsp->deps.arg, &from, buf, (size_t)len);
			continue;
		}
		if (!gsp_decode(buf, (size_t)len, &news)) {
			lg_event(gsp->deps.lg, LG_WARNING, "datagram_refused",
			    "bytes=%zd", len);
			continue;
		}
		if (strcmp(news.name, gsp->name) != 0) {
			member_heard(gsp, news.name, &from, now);
			quota_gossip_merge(gsp->deps.qta, news.name,
			    news.incarnation, news.counts, news.count_len, now);
			active_programs_merge(gsp->deps.act, news.name,
			    news.programs, news.program_len, now);
			place_gossip_merge(gsp->deps.plc, news.name, news.loads,
			    news.load_len, news.kept, news.kept_len, now);
			crashes_heard(gsp, &news, now);
		}
		gsp_news_clear(&news);
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
member_seen(struct gsp *gsp, const struct sto_record *record, clk_ms now)
{
	struct member *member = g_hash_table_lookup(gsp->members, record->key);
	g_autofree char *text = g_strndup(record->value, record->len);
	struct sockaddr_in address;

	if (strcmp(record->key, gsp->name) == 0)
		return;
	if (!record_parse(text, &address)) {
		lg_event(gsp->deps.lg, LG_WARNING, "member_unreadable",
		    "bytes=%zu", record->len);
		return;
	}
	if (member == NULL) {
		member = g_new0(struct member, 1);
		(void)g_hash_table_insert(
		    gsp->members, g_strdup(record->key), member);
		lg_event(gsp->deps.lg, LG_NOTICE, "member_found", "name=%s",
		    record->key);
	}
	if (g_strcmp0(member->record, text) != 0) {
		g_free(member->record);
		member->record = g_steal_pointer(&text);
		member->changed = now;
	}
	member->address = address;
}

static void
members_shift(struct gsp *gsp, clk_ms by)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, gsp->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct member *)value)->changed += by;
}

static void
on_renewed(void *arg, const struct sto_reply *reply)
{
	struct gsp *gsp = arg;

	if (reply->status != STO_OK)
		lg_event(gsp->deps.lg, LG_WARNING, "member_not_renewed",
		    "status=%d", reply->status);
}

/* Drop the records of instances that are gone for good. */
static void
forget_dead(struct gsp *gsp, clk_ms now)
{
	const struct sto_place place = {STO_MEMBERS, 0};
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, gsp->members);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct member *member = value;
		const struct sto_record drop = {key, NULL, 0};

		if (member->is_dead &&
		    now - member->changed >= RECORD_FORGET_MS)
			gsp->deps.sto.ops->append(gsp->deps.sto.store, &place,
			    STO_ANY_END, &drop, 1, STORE_TIMEOUT_MS, on_renewed,
			    gsp);
	}
}

static void
on_members(void *arg, const struct sto_reply *reply)
{
	struct gsp *gsp = arg;
	clk_ms now = clk_now(&gsp->deps.clk);
	GHashTableIter iter;
	void *key, *value;
	unsigned alive = 1;
	unsigned rank = 0;
	clk_ms unread;

	if (reply->status != STO_OK)
		return;
	/* Nobody could renew its record while the store was away. */
	unread = gsp->last_read > 0 ? now - gsp->last_read : 0;
	gsp->last_read = now;
	if (unread > 2 * READ_PERIOD_MS)
		members_shift(gsp, unread);
	for (size_t i = 0; i < reply->count; i++)
		member_seen(gsp, &reply->records[i], now);
	g_hash_table_iter_init(&iter, gsp->members);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct member *member = value;
		bool was_dead = member->is_dead;

		if (sto_find(reply, key) == NULL) {
			lg_event(gsp->deps.lg, LG_NOTICE, "member_left",
			    "name=%s", (const char *)key);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		member->is_dead = now - member->changed >= RECORD_DEAD_MS;
		if (member->is_dead && !was_dead)
			lg_event(gsp->deps.lg, LG_NOTICE, "member_dead",
			    "name=%s unchanged_ms=%lld", (const char *)key,
			    (long long)(now - member->changed));
		if (member->is_dead)
			continue;
		alive++;
		rank += strcmp(key, gsp->name) < 0;
	}
	if (rank == 0)
		forget_dead(gsp, now);
	quota_instances_set(gsp->deps.qta, alive, now);
	gsp->deps.on_fleet(gsp->deps.arg, alive, rank);
}

static void
read_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gsp *gsp = watcher->data;
	const struct sto_place place = {STO_MEMBERS, 0};

	(void)loop;
	(void)events;
	gsp->deps.sto.ops->read(
	    gsp->deps.sto.store, &place, STORE_TIMEOUT_MS, on_members, gsp);
}

static void
renew_cb(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	struct gsp *gsp = watcher->data;
	const struct sto_place place = {STO_MEMBERS, 0};
	char ip[INET_ADDRSTRLEN];
	char value[128];
	struct sto_record record = {gsp->name, value, 0};

	(void)loop;
	(void)events;
	if (gsp->leaving)
		return;
	(void)inet_ntop(AF_INET, &gsp->address.sin_addr, ip, sizeof(ip));
	record.len = (size_t)snprintf(value, sizeof(value), "%s %u %llu %llu",
	    ip, (unsigned)ntohs(gsp->address.sin_port),
	    (unsigned long long)gsp->incarnation,
	    (unsigned long long)++gsp->renewals);
	gsp->deps.sto.ops->append(gsp->deps.sto.store, &place, STO_ANY_END,
	    &record, 1, STORE_TIMEOUT_MS, on_renewed, gsp);
}

bool
gsp_address(
    const struct gsp *gsp, const char *name, struct sockaddr_in *address)
{
	const struct member *member = g_hash_table_lookup(gsp->members, name);

	if (member == NULL || member->is_dead)
		return (false);
	*address = member->address;
	return (true);
}

bool
gsp_send(
    struct gsp *gsp, const struct sockaddr_in *to, const void *data, size_t len)
{
	return (sendto(gsp->fd, data, len, MSG_DONTWAIT,
		    (const struct sockaddr *)to, sizeof(*to)) == (ssize_t)len);
}

void
gsp_leave(struct gsp *gsp)
{
	const struct sto_place place = {STO_MEMBERS, 0};
	const struct sto_record record = {gsp->name, NULL, 0};

	gsp->leaving = true;
	gsp->deps.sto.ops->append(gsp->deps.sto.store, &place, STO_ANY_END,
	    &record, 1, STORE_TIMEOUT_MS, on_renewed, gsp);
}

static void
timer_begin(struct gsp *gsp, struct ev_timer *timer,
    void (*cb)(struct ev_loop *, struct ev_timer *, int), clk_ms period)
{
	ev_timer_init(timer, cb, 0.0, (double)period / 1000.0);
	timer->data = gsp;
	ev_timer_start(gsp->deps.loop, timer);
}

struct gsp *
gsp_open(const struct gsp_deps *deps, const char *name, uint64_t incarnation,
    const struct sockaddr_in *address)
{
	struct gsp *gsp;
	int saved;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (NULL);
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0) {
		saved = errno;
		(void)close(fd);
		errno = saved;
		return (NULL);
	}
	gsp = g_new0(struct gsp, 1);
	gsp->deps = *deps;
	gsp->name = g_strdup(name);
	gsp->incarnation = incarnation;
	gsp->address = *address;
	gsp->fd = fd;
	gsp->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, member_free);
	ev_io_init(&gsp->readable, readable_cb, fd, EV_READ);
	gsp->readable.data = gsp;
	ev_io_start(deps->loop, &gsp->readable);
	timer_begin(gsp, &gsp->tell, tell_cb, TELL_PERIOD_MS);
	timer_begin(gsp, &gsp->renew, renew_cb, RENEW_PERIOD_MS);
	timer_begin(gsp, &gsp->read, read_cb, READ_PERIOD_MS);
	return (gsp);
}

void
gsp_close(struct gsp *gsp)
{
	if (gsp == NULL)
		return;
	ev_io_stop(gsp->deps.loop, &gsp->readable);
	ev_timer_stop(gsp->deps.loop, &gsp->tell);
	ev_timer_stop(gsp->deps.loop, &gsp->renew);
	ev_timer_stop(gsp->deps.loop, &gsp->read);
	(void)close(gsp->fd);
	g_hash_table_destroy(gsp->members);
	g_free(gsp->name);
	g_free(gsp);
}
