#include "upstream/upstream.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "upstream/heap.h"

#define REMOTE_PENALTY_MS     ((clk_ms)20)
#define FIRST_TOKEN_TARGET_MS ((clk_ms)800)
#define TOKEN_GAP_TARGET_MS   ((clk_ms)50)
#define WINDOW_START	      4
#define WINDOW_MAX	      64
#define WINDOW_SHRINK_FACTOR  0.7
#define SHRINK_INTERVAL_MS    CLK_SECOND
#define SPEED_START_TOKENS_S  10000.0
#define SPEED_SMOOTHING	      0.2
#define LOAD_MAX_AGE_MS	      (5 * CLK_SECOND)
#define DOWN_DELAY_MIN_MS     CLK_SECOND
#define DOWN_DELAY_MAX_MS     (30 * CLK_SECOND)
#define TIMEOUTS_UNTIL_DOWN   3
#define TICK_MAX_UPSTREAMS    64
/*
 * Fixed cost of a call, in tokens.  Without it the measured speed of short
 * prompts would be close to zero.
 */
#define CALL_OVERHEAD_TOKENS 200.0
/* Class i has speeds from 2^(i + SPEED_CLASS_MIN) tokens per second. */
#define SPEED_CLASSES	16
#define SPEED_CLASS_MIN 4
#define LOCAL		0
#define REMOTE		1

struct pool {
	char *key; /* kind and model */
	struct heap waits[2][SPEED_CLASSES]; /* open members */
	struct heap outstanding; /* open members */
	GPtrArray *open; /* open members, in no order */
	unsigned active; /* members that are active */
	unsigned in_flight; /* calls at active members */
	double speed; /* of all active members */
};

/* An upstream in one pool. */
struct member {
	struct upstream *upstream;
	struct pool *pool;
	struct heap_item wait;
	struct heap_item outstanding;
	struct heap *waits; /* the heap that wait is in, or nil */
	guint open_position; /* index + 1 in pool->open; 0: not open */
	/* Its contribution to the pool's totals. */
	bool active;
	unsigned in_flight;
	double speed;
};

struct upstream {
	struct upstream_handle handle;
	char *name;
	char *url;
	char *datacentre;
	GPtrArray *members; /* struct member */
	guint index; /* in table->all */
	enum upstream_kind kind;
	bool checks_fencing;
	bool config_leaving; /* by the configuration */
	bool list_leaving; /* by the member list */
	bool removed;
	bool remote;
	bool down;
	bool has_shrunk;
	bool has_load;

	unsigned timeouts; /* since the last reply */
	clk_ms down_until;
	clk_ms down_delay; /* of the last failure; 0: none since a reply */

	unsigned in_flight;
	unsigned prefilling; /* of in_flight, without a first token */
	double window;
	clk_ms shrunk_at; /* last time that the window shrank */
	clk_ms least_gap; /* between tokens; -1: none seen */

	double speed;
	double prefill; /* queued tokens of this instance's calls */
	double mean_prefill; /* tokens per call, to weigh reported calls */

	struct upstream_load load;
	clk_ms load_time; /* when the reported load was observed */

	int64_t last_event; /* 0: none */
	uint64_t uncertain_at; /* estimates with a lower stamp are halved */
	uint64_t emptied_at; /* estimates with a lower stamp are zero */
};

struct slot {
	struct upstream *upstream; /* nil if free */
	uint32_t generation;
};

struct holder {
	struct upstream_handle upstream;
	int64_t tokens;
	bool confirmed; /* by a reply; insert events are then ignored */
	uint64_t stamp; /* of the last change, by the table's counter */
};

struct upstream_table {
	struct upstream_options options;
	char *datacentre;
	unsigned instances; /* that share the upstreams */
	GArray *slots; /* struct slot */
	GArray *free_slots; /* uint32_t */
	GPtrArray *all; /* struct upstream */
	GHashTable *by_name; /* name -> struct upstream */
	GPtrArray *pools; /* struct pool */
	GHashTable *pool_numbers; /* key -> number + 1 */
	GQueue down; /* struct upstream */
	guint tick_index; /* of the last load report checked */
	GHashTable *programs; /* id -> GArray of struct holder */
	uint64_t stamp; /* counter that orders changes of the index */
};

static struct upstream *
upstream_get(const struct upstream_table *table, struct upstream_handle handle)
{
	const struct slot *slot;

	if (handle.generation == 0 || handle.index >= table->slots->len)
		return (NULL);
	slot = &g_array_index(table->slots, struct slot, handle.index);
	return (slot->generation == handle.generation ? slot->upstream : NULL);
}

static struct pool *
pool_get(const struct upstream_table *table, uint32_t pool)
{
	return (pool < table->pools->len ? g_ptr_array_index(table->pools, pool)
					 : NULL);
}

static struct member *
member_at(const struct upstream *upstream, guint i)
{
	return (g_ptr_array_index(upstream->members, i));
}

static bool
is_same(struct upstream_handle a, struct upstream_handle b)
{
	return (a.index == b.index && a.generation == b.generation);
}

/* ---- state ---- */

static enum upstream_state
state_of(const struct upstream *upstream)
{
	if (upstream->removed || upstream->config_leaving ||
	    upstream->list_leaving)
		return (UPSTREAM_LEAVING);
	return (upstream->down ? UPSTREAM_DOWN : UPSTREAM_ACTIVE);
}

static double
window_max(const struct upstream_table *table, const struct upstream *upstream)
{
	unsigned part;

	if (!upstream->has_load || upstream->load.capacity == 0)
		return (table->options.window_max);
	/* Rounded down: together the instances must not exceed the capacity. */
	part = upstream->load.capacity / table->instances;
	return (MAX(part, 1));
}

static bool
is_open(const struct upstream_table *table, const struct upstream *upstream)
{
	double window = MIN(upstream->window, window_max(table, upstream));

	return (state_of(upstream) == UPSTREAM_ACTIVE &&
	    upstream->in_flight < (unsigned)MAX(window, 1.0));
}

static double
queue_tokens(const struct upstream *upstream)
{
	double others = 0.0;

	/* The report includes this instance's own calls. */
	if (upstream->has_load && upstream->load.waiting > upstream->prefilling)
		others =
		    (double)(upstream->load.waiting - upstream->prefilling) *
		    upstream->mean_prefill;
	return (upstream->prefill + others);
}

static double
wait_of(const struct upstream_table *table, const struct upstream *upstream,
    double tokens)
{
	double wait = (queue_tokens(upstream) + tokens + CALL_OVERHEAD_TOKENS) /
	    upstream->speed * (double)CLK_SECOND;

	return (upstream->remote ? wait + (double)table->options.remote_penalty
				 : wait);
}

static unsigned
speed_class(double speed)
{
	int class = ilogb(speed) - SPEED_CLASS_MIN;

	return ((unsigned)CLAMP(class, 0, SPEED_CLASSES - 1));
}

static void
member_close(struct member *member)
{
	struct pool *pool = member->pool;
	struct member *last;

	if (member->open_position == 0)
		return;
	heap_remove(member->waits, &member->wait);
	heap_remove(&pool->outstanding, &member->outstanding);
	last = g_ptr_array_index(pool->open, pool->open->len - 1);
	g_ptr_array_index(pool->open, member->open_position - 1) = last;
	last->open_position = member->open_position;
	g_ptr_array_set_size(pool->open, (gint)pool->open->len - 1);
	member->open_position = 0;
	member->waits = NULL;
}

static void
member_open(struct member *member)
{
	const struct upstream *upstream = member->upstream;
	struct pool *pool = member->pool;
	struct heap *waits = &pool->waits[upstream->remote ? REMOTE : LOCAL]
					 [speed_class(upstream->speed)];
	double key = queue_tokens(upstream) / upstream->speed;

	if (member->open_position == 0) {
		g_ptr_array_add(pool->open, member);
		member->open_position = pool->open->len;
		heap_push(&pool->outstanding, &member->outstanding,
		    upstream->in_flight);
	} else {
		heap_rekey(&pool->outstanding, &member->outstanding,
		    upstream->in_flight);
	}
	if (member->waits == waits) {
		heap_rekey(waits, &member->wait, key);
		return;
	}
	if (member->waits != NULL)
		heap_remove(member->waits, &member->wait);
	member->waits = waits;
	heap_push(waits, &member->wait, key);
}

static void
member_totals_update(struct member *member, bool active)
{
	const struct upstream *upstream = member->upstream;
	struct pool *pool = member->pool;

	if (member->active) {
		pool->active--;
		pool->in_flight -= member->in_flight;
		pool->speed -= member->speed;
	}
	/* Clears the rounding error of many additions. */
	if (pool->active == 0)
		pool->speed = 0.0;
	member->active = active;
	member->in_flight = upstream->in_flight;
	member->speed = upstream->speed;
	if (active) {
		pool->active++;
		pool->in_flight += member->in_flight;
		pool->speed += member->speed;
	}
}

/* Update the pools after a change of the upstream. */
static void
upstream_refresh(const struct upstream_table *table, struct upstream *upstream)
{
	bool open = is_open(table, upstream);
	bool active = state_of(upstream) == UPSTREAM_ACTIVE;

	for (guint i = 0; i < upstream->members->len; i++) {
		struct member *member = member_at(upstream, i);

		member_totals_update(member, active);
		if (open)
			member_open(member);
		else
			member_close(member);
	}
}

/* ---- configuration ---- */

struct upstream_table *
upstream_open(const struct upstream_options *options)
{
	struct upstream_table *table = g_new0(struct upstream_table, 1);
	struct upstream_options *o = &table->options;

	*o = *options;
	table->datacentre =
	    g_strdup(options->datacentre != NULL ? options->datacentre : "");
	o->datacentre = table->datacentre;
	if (o->remote_penalty == 0)
		o->remote_penalty = REMOTE_PENALTY_MS;
	if (o->first_token_target == 0)
		o->first_token_target = FIRST_TOKEN_TARGET_MS;
	if (o->token_gap_target == 0)
		o->token_gap_target = TOKEN_GAP_TARGET_MS;
	if (o->window_start == 0)
		o->window_start = WINDOW_START;
	if (o->window_max == 0)
		o->window_max = WINDOW_MAX;
	table->instances = 1;
	table->slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	table->free_slots = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	table->all = g_ptr_array_new();
	table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->pools = g_ptr_array_new();
	table->pool_numbers = g_hash_table_new(g_str_hash, g_str_equal);
	table->programs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	return (table);
}

static struct pool *
pool_ensure(
    struct upstream_table *table, enum upstream_kind kind, const char *model)
{
	char *key = g_strdup_printf("%d %s", (int)kind, model);
	guint number =
	    GPOINTER_TO_UINT(g_hash_table_lookup(table->pool_numbers, key));
	struct pool *pool;

	if (number > 0) {
		g_free(key);
		return (pool_get(table, number - 1));
	}
	pool = g_new0(struct pool, 1);
	pool->key = key;
	for (int remote = 0; remote < 2; remote++) {
		for (int class = 0; class < SPEED_CLASSES; class ++)
			heap_init(&pool->waits[remote][class]);
	}
	heap_init(&pool->outstanding);
	pool->open = g_ptr_array_new();
	g_ptr_array_add(table->pools, pool);
	(void)g_hash_table_insert(table->pool_numbers, pool->key,
	    GUINT_TO_POINTER(table->pools->len));
	return (pool);
}

static void
pool_free(struct pool *pool)
{
	for (int remote = 0; remote < 2; remote++) {
		for (int class = 0; class < SPEED_CLASSES; class ++)
			heap_clear(&pool->waits[remote][class]);
	}
	heap_clear(&pool->outstanding);
	g_ptr_array_free(pool->open, TRUE);
	g_free(pool->key);
	g_free(pool);
}

static void
members_clear(struct upstream *upstream)
{
	for (guint i = 0; i < upstream->members->len; i++) {
		struct member *member = member_at(upstream, i);

		member_close(member);
		member_totals_update(member, false);
		g_free(member);
	}
	g_ptr_array_set_size(upstream->members, 0);
}

static void
upstream_free(struct upstream *upstream)
{
	members_clear(upstream);
	g_ptr_array_free(upstream->members, TRUE);
	g_free(upstream->name);
	g_free(upstream->url);
	g_free(upstream->datacentre);
	g_free(upstream);
}

void
upstream_close(struct upstream_table *table)
{
	if (table == NULL)
		return;
	for (guint i = 0; i < table->all->len; i++)
		upstream_free(g_ptr_array_index(table->all, i));
	for (guint i = 0; i < table->pools->len; i++)
		pool_free(g_ptr_array_index(table->pools, i));
	g_ptr_array_free(table->all, TRUE);
	g_ptr_array_free(table->pools, TRUE);
	g_array_free(table->slots, TRUE);
	g_array_free(table->free_slots, TRUE);
	g_hash_table_destroy(table->by_name);
	g_hash_table_destroy(table->pool_numbers);
	g_hash_table_destroy(table->programs);
	g_queue_clear(&table->down);
	g_free(table->datacentre);
	g_free(table);
}

static void
slot_alloc(struct upstream_table *table, struct upstream *upstream)
{
	struct slot fresh = {.upstream = NULL, .generation = 0};
	struct slot *slot;
	guint count = table->free_slots->len;
	uint32_t index = table->slots->len;

	if (count > 0) {
		index = g_array_index(table->free_slots, uint32_t, count - 1);
		g_array_set_size(table->free_slots, count - 1);
	} else {
		g_array_append_val(table->slots, fresh);
	}
	slot = &g_array_index(table->slots, struct slot, index);
	slot->generation++;
	slot->upstream = upstream;
	upstream->handle.index = index;
	upstream->handle.generation = slot->generation;
	upstream->index = table->all->len;
	g_ptr_array_add(table->all, upstream);
}

static struct upstream *
upstream_new(struct upstream_table *table, const struct upstream_config *config)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->name = g_strdup(config->name);
	upstream->kind = config->kind;
	upstream->members = g_ptr_array_new();
	upstream->window = table->options.window_start;
	upstream->least_gap = -1;
	upstream->speed =
	    config->speed > 0 ? config->speed : SPEED_START_TOKENS_S;
	upstream->mean_prefill = CALL_OVERHEAD_TOKENS;
	slot_alloc(table, upstream);
	(void)g_hash_table_insert(table->by_name, upstream->name, upstream);
	return (upstream);
}

struct upstream_handle
upstream_set(struct upstream_table *table, const struct upstream_config *config)
{
	struct upstream *upstream =
	    g_hash_table_lookup(table->by_name, config->name);

	if (upstream == NULL)
		upstream = upstream_new(table, config);
	g_free(upstream->url);
	g_free(upstream->datacentre);
	upstream->url = g_strdup(config->url != NULL ? config->url : "");
	upstream->datacentre =
	    g_strdup(config->datacentre != NULL ? config->datacentre : "");
	upstream->checks_fencing = config->checks_fencing;
	upstream->config_leaving = config->leaving;
	upstream->removed = false;
	upstream->remote = strcmp(upstream->datacentre, table->datacentre) != 0;
	members_clear(upstream);
	for (const char *const *model = config->models;
	     model != NULL && *model != NULL; model++) {
		struct member *member = g_new0(struct member, 1);

		member->upstream = upstream;
		member->pool = pool_ensure(table, upstream->kind, *model);
		member->wait.tie = upstream->handle.index;
		member->outstanding.tie = upstream->handle.index;
		g_ptr_array_add(upstream->members, member);
	}
	upstream_refresh(table, upstream);
	return (upstream->handle);
}

static void
upstream_delete(struct upstream_table *table, struct upstream *upstream)
{
	struct slot *slot =
	    &g_array_index(table->slots, struct slot, upstream->handle.index);
	struct upstream *last =
	    g_ptr_array_index(table->all, table->all->len - 1);

	slot->upstream = NULL;
	g_array_append_val(table->free_slots, upstream->handle.index);
	g_ptr_array_index(table->all, upstream->index) = last;
	last->index = upstream->index;
	g_ptr_array_set_size(table->all, (gint)table->all->len - 1);
	(void)g_hash_table_remove(table->by_name, upstream->name);
	(void)g_queue_remove(&table->down, upstream);
	upstream_free(upstream);
}

void
upstream_remove(struct upstream_table *table, const char *name)
{
	struct upstream *upstream = g_hash_table_lookup(table->by_name, name);

	if (upstream == NULL)
		return;
	upstream->removed = true;
	if (upstream->in_flight == 0)
		upstream_delete(table, upstream);
	else
		upstream_refresh(table, upstream);
}

void
upstream_set_leaving(
    struct upstream_table *table, const char *name, bool leaving)
{
	struct upstream *upstream = g_hash_table_lookup(table->by_name, name);

	if (upstream == NULL || upstream->list_leaving == leaving)
		return;
	upstream->list_leaving = leaving;
	upstream_refresh(table, upstream);
}

void
upstream_set_instances(struct upstream_table *table, unsigned instances)
{
	if (table->instances == MAX(instances, 1))
		return;
	table->instances = MAX(instances, 1);
	for (guint i = 0; i < table->all->len; i++)
		upstream_refresh(table, g_ptr_array_index(table->all, i));
}

void
upstream_set_load(struct upstream_table *table, struct upstream_handle handle,
    const struct upstream_load *load, clk_ms now)
{
	struct upstream *upstream = upstream_get(table, handle);

	if (upstream == NULL || load->age > LOAD_MAX_AGE_MS)
		return;
	/* Reports may arrive out of order. */
	if (upstream->has_load && now - load->age < upstream->load_time)
		return;
	upstream->has_load = true;
	upstream->load = *load;
	upstream->load_time = now - load->age;
	upstream_refresh(table, upstream);
}

static void
reactivate_due(struct upstream_table *table, clk_ms now)
{
	guint count = MIN(table->down.length, TICK_MAX_UPSTREAMS);

	for (; count > 0; count--) {
		struct upstream *upstream = g_queue_pop_head(&table->down);

		if (now < upstream->down_until) {
			g_queue_push_tail(&table->down, upstream);
			continue;
		}
		upstream->down = false;
		upstream->window = 1.0;
		upstream_refresh(table, upstream);
	}
}

void
upstream_tick(struct upstream_table *table, clk_ms now)
{
	guint count = MIN(table->all->len, TICK_MAX_UPSTREAMS);

	reactivate_due(table, now);
	for (; count > 0; count--) {
		struct upstream *upstream;

		table->tick_index = (table->tick_index + 1) % table->all->len;
		upstream = g_ptr_array_index(table->all, table->tick_index);
		if (!upstream->has_load ||
		    now - upstream->load_time <= LOAD_MAX_AGE_MS)
			continue;
		upstream->has_load = false;
		upstream_refresh(table, upstream);
	}
}

/* ---- queries ---- */

struct upstream_handle
upstream_find(const struct upstream_table *table, const char *name)
{
	const struct upstream *upstream =
	    g_hash_table_lookup(table->by_name, name);
	struct upstream_handle none = {0};

	return (upstream != NULL ? upstream->handle : none);
}

unsigned
upstream_count(const struct upstream_table *table)
{
	return (table->all->len);
}

struct upstream_handle
upstream_at(const struct upstream_table *table, unsigned i)
{
	const struct upstream *upstream = g_ptr_array_index(table->all, i);

	return (upstream->handle);
}

bool
upstream_get_info(const struct upstream_table *table,
    struct upstream_handle handle, clk_ms now, struct upstream_info *info)
{
	const struct upstream *upstream = upstream_get(table, handle);

	if (upstream == NULL)
		return (false);
	info->name = upstream->name;
	info->url = upstream->url;
	info->datacentre = upstream->datacentre;
	info->kind = upstream->kind;
	info->state = state_of(upstream);
	info->checks_fencing = upstream->checks_fencing;
	info->removed = upstream->removed;
	info->in_flight = upstream->in_flight;
	info->window = MIN(upstream->window, window_max(table, upstream));
	info->speed = upstream->speed;
	info->queue_tokens = queue_tokens(upstream);
	info->load_age = upstream->has_load ? now - upstream->load_time : -1;
	return (true);
}

bool
upstream_is_open(
    const struct upstream_table *table, struct upstream_handle handle)
{
	const struct upstream *upstream = upstream_get(table, handle);

	return (upstream != NULL && is_open(table, upstream));
}

bool
upstream_is_in_pool(const struct upstream_table *table,
    struct upstream_handle handle, uint32_t pool)
{
	const struct upstream *upstream = upstream_get(table, handle);
	const struct pool *wanted = pool_get(table, pool);

	for (guint i = 0; upstream != NULL && i < upstream->members->len; i++) {
		if (member_at(upstream, i)->pool == wanted)
			return (true);
	}
	return (false);
}

uint32_t
upstream_pool_find(const struct upstream_table *table, enum upstream_kind kind,
    const char *model)
{
	g_autofree char *key = g_strdup_printf("%d %s", (int)kind, model);
	guint number =
	    GPOINTER_TO_UINT(g_hash_table_lookup(table->pool_numbers, key));

	return (number > 0 ? number - 1 : UPSTREAM_NO_POOL);
}

uint32_t
upstream_pool_count(const struct upstream_table *table)
{
	return (table->pools->len);
}

unsigned
upstream_pool_active_count(const struct upstream_table *table, uint32_t pool)
{
	const struct pool *p = pool_get(table, pool);

	return (p != NULL ? p->active : 0);
}

unsigned
upstream_pool_open_count(const struct upstream_table *table, uint32_t pool)
{
	const struct pool *p = pool_get(table, pool);

	return (p != NULL ? p->open->len : 0);
}

struct upstream_handle
upstream_pool_round_robin(
    const struct upstream_table *table, uint32_t pool, uint64_t turn)
{
	const struct pool *p = pool_get(table, pool);
	struct upstream_handle none = {0};
	const struct member *member;

	if (p == NULL || p->open->len == 0)
		return (none);
	member = g_ptr_array_index(p->open, (guint)(turn % p->open->len));
	return (member->upstream->handle);
}

struct upstream_handle
upstream_pool_least_outstanding(const struct upstream_table *table,
    uint32_t pool, struct upstream_handle avoid)
{
	const struct pool *p = pool_get(table, pool);
	struct heap_item *item = NULL;
	struct upstream_handle none = {0};
	struct upstream_handle handle;

	if (p != NULL)
		item = heap_top(&p->outstanding);
	if (item == NULL)
		return (none);
	handle =
	    HEAP_CONTAINER(item, struct member, outstanding)->upstream->handle;
	if (!is_same(handle, avoid))
		return (handle);
	item = heap_second(&p->outstanding);
	if (item == NULL)
		return (handle);
	return (
	    HEAP_CONTAINER(item, struct member, outstanding)->upstream->handle);
}

/* Compare with the best member so far; the one to avoid ranks last. */
static void
best_wait_update(const struct upstream_table *table, struct heap_item *item,
    double tokens, struct upstream_handle avoid, const struct upstream **best,
    double *best_wait)
{
	const struct upstream *upstream;
	double wait;

	if (item == NULL)
		return;
	upstream = HEAP_CONTAINER(item, struct member, wait)->upstream;
	wait = wait_of(table, upstream, tokens);
	if (*best != NULL && is_same(upstream->handle, avoid))
		return;
	if (*best == NULL || is_same((*best)->handle, avoid) ||
	    wait < *best_wait) {
		*best = upstream;
		*best_wait = wait;
	}
}

struct upstream_handle
upstream_pool_least_wait(const struct upstream_table *table, uint32_t pool,
    int64_t tokens, struct upstream_handle avoid, double *wait)
{
	const struct pool *p = pool_get(table, pool);
	const struct upstream *best = NULL;
	struct upstream_handle none = {0};

	*wait = 0.0;
	if (p == NULL || p->open->len == 0)
		return (none);
	for (int remote = 0; remote < 2; remote++) {
		for (int class = 0; class < SPEED_CLASSES; class ++) {
			const struct heap *heap = &p->waits[remote][class];

			best_wait_update(table, heap_top(heap), (double)tokens,
			    avoid, &best, wait);
			best_wait_update(table, heap_second(heap),
			    (double)tokens, avoid, &best, wait);
		}
	}
	return (best->handle);
}

double
upstream_wait_ms(const struct upstream_table *table,
    struct upstream_handle handle, int64_t tokens)
{
	const struct upstream *upstream = upstream_get(table, handle);

	return (upstream != NULL ? wait_of(table, upstream, (double)tokens)
				 : INFINITY);
}

double
upstream_queue_tokens(
    const struct upstream_table *table, struct upstream_handle handle)
{
	const struct upstream *upstream = upstream_get(table, handle);

	return (upstream != NULL ? queue_tokens(upstream) : 0.0);
}

bool
upstream_is_overloaded(const struct upstream_table *table,
    struct upstream_handle handle, uint32_t pool, double factor)
{
	const struct upstream *upstream = upstream_get(table, handle);
	const struct pool *p = pool_get(table, pool);
	double part;

	if (upstream == NULL || p == NULL || p->speed <= 0.0)
		return (true);
	part = (double)(p->in_flight + 1) * upstream->speed / p->speed;
	/* Rounded up, or a small number of calls could not be placed at all. */
	return (upstream->in_flight + 1 > (unsigned)ceil(part * factor));
}

/* ---- calls ---- */

void
upstream_call_begin(struct upstream_table *table, struct upstream_handle handle,
    int64_t uncached_tokens)
{
	struct upstream *upstream = upstream_get(table, handle);

	if (upstream == NULL)
		return;
	upstream->in_flight++;
	upstream->prefilling++;
	upstream->prefill += (double)uncached_tokens + CALL_OVERHEAD_TOKENS;
	upstream_refresh(table, upstream);
}

void
upstream_call_prefilled(struct upstream_table *table,
    struct upstream_handle handle, int64_t uncached_tokens)
{
	struct upstream *upstream = upstream_get(table, handle);
	double tokens = (double)uncached_tokens + CALL_OVERHEAD_TOKENS;

	if (upstream == NULL || upstream->prefilling == 0)
		return;
	upstream->prefilling--;
	upstream->prefill = MAX(0.0, upstream->prefill - tokens);
	upstream->mean_prefill +=
	    (tokens - upstream->mean_prefill) * SPEED_SMOOTHING;
	upstream_refresh(table, upstream);
}

/* End a call.  May free the upstream. */
static void
call_remove(struct upstream_table *table, struct upstream *upstream)
{
	if (upstream->in_flight > 0)
		upstream->in_flight--;
	if (upstream->removed && upstream->in_flight == 0)
		upstream_delete(table, upstream);
	else
		upstream_refresh(table, upstream);
}

static void
window_shrink(struct upstream *upstream, double factor, clk_ms now)
{
	/* Calls that are late or fail in the same period count once. */
	if (upstream->has_shrunk &&
	    now - upstream->shrunk_at < SHRINK_INTERVAL_MS)
		return;
	upstream->window = MAX(1.0, upstream->window * factor);
	upstream->shrunk_at = now;
	upstream->has_shrunk = true;
}

static void
speed_update(struct upstream *upstream, double work, clk_ms first_token)
{
	double speed;

	if (first_token < 0)
		return;
	speed = work * (double)CLK_SECOND / (double)MAX(first_token, 1);
	upstream->speed += (speed - upstream->speed) * SPEED_SMOOTHING;
	upstream->speed = MAX(upstream->speed, 1.0);
}

static bool
is_over_target(const struct upstream_table *table, struct upstream *upstream,
    double uncached, const struct upstream_reply *reply)
{
	double allowed = (double)table->options.first_token_target +
	    (uncached + CALL_OVERHEAD_TOKENS) / upstream->speed *
		(double)CLK_SECOND;
	clk_ms gap = table->options.token_gap_target;

	if (reply->token_gap >= 0) {
		if (upstream->least_gap < 0 ||
		    reply->token_gap < upstream->least_gap)
			upstream->least_gap = reply->token_gap;
		/* A slow engine misses the target even with one call. */
		gap = MAX(gap, upstream->least_gap * 3 / 2);
	}
	return ((double)reply->first_token > allowed || reply->token_gap > gap);
}

void
upstream_call_succeed(struct upstream_table *table,
    struct upstream_handle handle, double queue_tokens_at_start,
    const struct upstream_reply *reply, clk_ms now)
{
	struct upstream *upstream = upstream_get(table, handle);
	double uncached;

	if (upstream == NULL)
		return;
	uncached = (double)MAX(0, reply->prompt_tokens - reply->cached_tokens);
	upstream->down_delay = 0;
	upstream->timeouts = 0;
	if (is_over_target(table, upstream, uncached, reply))
		window_shrink(upstream, WINDOW_SHRINK_FACTOR, now);
	else if (upstream->window < window_max(table, upstream))
		upstream->window += 1.0 / upstream->window;
	speed_update(upstream,
	    queue_tokens_at_start + uncached + CALL_OVERHEAD_TOKENS,
	    reply->first_token);
	call_remove(table, upstream);
}

void
upstream_call_cancel(
    struct upstream_table *table, struct upstream_handle handle)
{
	struct upstream *upstream = upstream_get(table, handle);

	if (upstream != NULL)
		call_remove(table, upstream);
}

static void
mark_down(struct upstream_table *table, struct upstream *upstream, clk_ms now)
{
	/* The failures of the other calls in progress count once. */
	if (upstream->down)
		return;
	upstream->down = true;
	upstream->down_delay = upstream->down_delay == 0
	    ? DOWN_DELAY_MIN_MS
	    : MIN(upstream->down_delay * 2, DOWN_DELAY_MAX_MS);
	upstream->down_until = now + upstream->down_delay;
	upstream->timeouts = 0;
	g_queue_push_tail(&table->down, upstream);
}

void
upstream_call_fail(struct upstream_table *table, struct upstream_handle handle,
    enum upstream_failure failure, clk_ms now)
{
	struct upstream *upstream = upstream_get(table, handle);

	if (upstream == NULL)
		return;
	switch (failure) {
	case UPSTREAM_REFUSED:
	case UPSTREAM_CRASHED:
		upstream->emptied_at = ++table->stamp;
		mark_down(table, upstream, now);
		break;
	case UPSTREAM_TIMED_OUT:
		window_shrink(upstream, 0.5, now);
		if (++upstream->timeouts >= TIMEOUTS_UNTIL_DOWN)
			mark_down(table, upstream, now);
		break;
	case UPSTREAM_BUSY:
		window_shrink(upstream, 0.5, now);
		break;
	}
	call_remove(table, upstream);
}

/* ---- prefix index ---- */

static struct holder *
holder_find(const struct upstream_table *table, const char *program,
    struct upstream_handle handle)
{
	GArray *holders = g_hash_table_lookup(table->programs, program);

	for (guint i = 0; holders != NULL && i < holders->len; i++) {
		struct holder *holder =
		    &g_array_index(holders, struct holder, i);

		if (is_same(holder->upstream, handle))
			return (holder);
	}
	return (NULL);
}

/* Find or add a holder, and make it the newest. */
static struct holder *
holder_ensure(struct upstream_table *table, const char *program,
    struct upstream_handle handle)
{
	GArray *holders = g_hash_table_lookup(table->programs, program);
	struct holder holder = {.upstream = handle, .stamp = ++table->stamp};
	struct holder *known;

	if (holders == NULL) {
		holders = g_array_new(FALSE, FALSE, sizeof(struct holder));
		(void)g_hash_table_insert(
		    table->programs, g_strdup(program), holders);
	}
	known = holder_find(table, program, handle);
	if (known != NULL) {
		holder = *known;
		g_array_remove_index(
		    holders, (guint)(known - (struct holder *)holders->data));
	}
	g_array_append_val(holders, holder);
	return (&g_array_index(holders, struct holder, holders->len - 1));
}

void
upstream_prefix_add(struct upstream_table *table, const char *program,
    struct upstream_handle handle)
{
	if (upstream_get(table, handle) != NULL)
		(void)holder_ensure(table, program, handle);
}

void
upstream_prefix_update(struct upstream_table *table, const char *program,
    struct upstream_handle handle, int64_t tokens)
{
	struct holder *holder;

	if (upstream_get(table, handle) == NULL)
		return;
	holder = holder_ensure(table, program, handle);
	holder->tokens = tokens;
	holder->confirmed = true;
	holder->stamp = ++table->stamp;
}

static int64_t
cached_estimate(const struct upstream_table *table, const struct holder *holder)
{
	const struct upstream *upstream = upstream_get(table, holder->upstream);

	if (upstream == NULL || holder->stamp < upstream->emptied_at)
		return (0);
	return (holder->stamp < upstream->uncertain_at ? holder->tokens / 2
						       : holder->tokens);
}

size_t
upstream_prefix_holders(const struct upstream_table *table, const char *program,
    struct upstream_holder *holders, size_t max)
{
	GArray *known = g_hash_table_lookup(table->programs, program);
	guint count = known != NULL ? known->len : 0;
	size_t n = 0; /* written */

	for (guint i = 0; i < count; i++) {
		const struct holder *holder =
		    &g_array_index(known, struct holder, count - 1 - i);
		struct upstream_holder one = {.upstream = holder->upstream,
		    .tokens = cached_estimate(table, holder)};
		size_t place = n;

		while (place > 0 && holders[place - 1].tokens < one.tokens)
			place--;
		if (place == max)
			continue;
		n = MIN(n + 1, max);
		memmove(&holders[place + 1], &holders[place],
		    (n - 1 - place) * sizeof(*holders));
		holders[place] = one;
	}
	return (count);
}

void
upstream_prefix_remove(struct upstream_table *table, const char *program)
{
	(void)g_hash_table_remove(table->programs, program);
}

void
upstream_cache_event(struct upstream_table *table,
    struct upstream_handle handle, int64_t number, bool insert,
    const char *program, int64_t tokens)
{
	struct upstream *upstream = upstream_get(table, handle);
	struct holder *holder;

	if (upstream == NULL)
		return;
	if (upstream->last_event != 0 && number != upstream->last_event + 1)
		upstream->uncertain_at = ++table->stamp;
	upstream->last_event = number;
	holder = holder_find(table, program, handle);
	if (holder == NULL)
		return;
	if (holder->stamp < upstream->emptied_at) {
		holder->tokens = 0;
		holder->confirmed = false;
		holder->stamp = ++table->stamp;
	}
	if (!insert)
		holder->tokens = MAX(0, holder->tokens - tokens);
	else if (!holder->confirmed)
		holder->tokens += tokens;
}
