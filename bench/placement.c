/*
 * placement: how evenly histories and their replicas lie over the instances
 * at the target size, with holders by rendezvous hashing alone, and with the
 * replicas moved to lighter holders.
 *
 * The second variant follows the rule "the lightest eligible holder that does
 * not end up heavier than the source" (Jin Zhou, "TaskVine Insights - Storage
 * Management: Disk Load Shifting", 2025).  Prints one row a seed.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "member/member.h"

#define DATACENTRES 6
#define SHARDS	    1024
#define SESSIONS    400
#define PROGRAMS    620000
#define MEAN_TOKENS 30000.0
#define MAX_TOKENS  220000.0
#define TOKEN_BYTES 4.0
/* Spread of the logarithm of a history's length. */
#define LOG_SPREAD 1.0
#define SEEDS	   10
#define PASSES	   4

struct shard {
	double bytes;
	unsigned at[3]; /* owner, holder here, holder elsewhere */
};

static double
normal(GRand *rand)
{
	double u = 1.0 - g_rand_double(rand);

	return (sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(rand)));
}

static void
shards_fill(struct shard *shards, GRand *rand)
{
	double mu = log(MEAN_TOKENS) - LOG_SPREAD * LOG_SPREAD / 2.0;

	for (unsigned i = 0; i < PROGRAMS; i++) {
		double tokens = exp(mu + LOG_SPREAD * normal(rand));
		guint32 at =
		    (guint32)g_rand_int_range(rand, 0, DATACENTRES * SHARDS);

		shards[at].bytes += MIN(tokens, MAX_TOKENS) * TOKEN_BYTES;
	}
}

static struct member_table *
sessions_open(GRand *rand)
{
	struct member_settings settings = {.peers_other = 2};
	struct member_identity identity = {.weight = 1.0};
	struct member_table *mem = NULL;

	for (unsigned i = 0; i < SESSIONS; i++) {
		/* The low bits are the index, the others random. */
		identity.session = ((uint64_t)g_rand_int(rand) << 32) | (i + 1);
		identity.datacentre = i % DATACENTRES;
		(void)g_snprintf(
		    identity.instance, sizeof(identity.instance), "i%u", i);
		(void)g_snprintf(identity.address, sizeof(identity.address),
		    "127.0.0.1:%u", 1024 + i);
		if (mem == NULL)
			mem = member_table_open(&settings, &identity);
		member_session_add(mem, &identity, 0);
	}
	member_update(mem, 0);
	return (mem);
}

static void
shards_place(struct shard *shards, const struct member_table *mem, double *load)
{
	for (unsigned i = 0; i < DATACENTRES * SHARDS; i++) {
		uint64_t here[2] = {0}, elsewhere[1] = {0};

		(void)member_rank(mem, i / SHARDS, i % SHARDS, true, here, 2);
		(void)member_rank(
		    mem, i / SHARDS, i % SHARDS, false, elsewhere, 1);
		shards[i].at[0] = (unsigned)(here[0] & 0xffffffffU) - 1;
		shards[i].at[1] = (unsigned)(here[1] & 0xffffffffU) - 1;
		shards[i].at[2] = (unsigned)(elsewhere[0] & 0xffffffffU) - 1;
		for (unsigned k = 0; k < 3; k++)
			load[shards[i].at[k]] += shards[i].bytes;
	}
}

/* Move replicas to lighter holders; returns the bytes moved. */
static double
replicas_shift(struct shard *shards, double *load)
{
	double moved = 0.0;

	for (unsigned i = 0; i < DATACENTRES * SHARDS; i++) {
		struct shard *shard = &shards[i];
		unsigned home = i / SHARDS;

		for (unsigned k = 1; k < 3; k++) {
			unsigned source = shard->at[k];
			unsigned best = source;

			for (unsigned s = 0; s < SESSIONS; s++) {
				bool here = s % DATACENTRES == home;

				if (here != (k == 1) || s == shard->at[0])
					continue;
				if (load[s] < load[best])
					best = s;
			}
			if (best == source ||
			    load[best] + shard->bytes > load[source])
				continue;
			load[source] -= shard->bytes;
			load[best] += shard->bytes;
			shard->at[k] = best;
			moved += shard->bytes;
		}
	}
	return (moved);
}

static void
spread(const double *load, double *mean, double *most)
{
	*mean = *most = 0.0;
	for (unsigned s = 0; s < SESSIONS; s++) {
		*mean += load[s] / SESSIONS;
		*most = MAX(*most, load[s]);
	}
}

int
main(void)
{
	(void)printf("seed  mean MB  hashing max/mean  shifted max/mean  "
		     "moved GB\n");
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct shard *shards =
		    g_new0(struct shard, DATACENTRES * SHARDS);
		double load[SESSIONS] = {0}, mean, hashed, shifted;
		double moved = 0.0;
		struct member_table *mem = sessions_open(rand);

		shards_fill(shards, rand);
		shards_place(shards, mem, load);
		spread(load, &mean, &hashed);
		for (unsigned pass = 0; pass < PASSES; pass++)
			moved += replicas_shift(shards, load);
		spread(load, &mean, &shifted);
		(void)printf("%4u  %7.0f  %16.2f  %16.2f  %8.1f\n", seed,
		    mean / 1e6, hashed / mean, shifted / mean, moved / 1e9);
		member_table_close(mem);
		g_free(shards);
		g_rand_free(rand);
	}
	return (0);
}
