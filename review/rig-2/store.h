/*
 * rstore: a stand-in for the platform's store, as a process of its own.
 *
 * Beside what the project's has, it answers many reads at a time, which share
 * a rate, and divides what is newest into pages.
 */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <netinet/in.h>
#include <sys/types.h>

struct rstore;

/* rstore_new(): a store without records, listening on a free port. */
struct rstore *rstore_new(void);
struct sockaddr_in rstore_address(const struct rstore *store);

/* rstore_put(store, topic, key, text): add a record, before it is started. */
void rstore_put(struct rstore *store, const char *topic, const char *key,
    const char *text);

/* rstore_start(store): serve in a child process; returns its id. */
pid_t rstore_start(struct rstore *store);

#endif
