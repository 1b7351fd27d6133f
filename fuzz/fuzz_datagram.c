/*
 * Fuzz target: datagrams of other instances.  What decodes must encode and
 * decode again.
 */
#include <stdlib.h>
#include <string.h>

#include "budget/loan.h"
#include "gossip/gossip.h"
#include "quota/token.h"
#include "throttle/throttle.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

static void
try_gossip(char *data, size_t len)
{
	struct gossip_message message;
	struct gossip_message again;
	char buf[GOSSIP_DATAGRAM_MAX];
	size_t size;

	if (!gossip_message_decode(data, len, &message))
		return;
	size = gossip_message_encode(buf, sizeof(buf), &message);
	check(size > 0 && gossip_message_decode(buf, size, &again));
	check(strcmp(message.name, again.name) == 0 &&
	    message.count_len == again.count_len &&
	    message.departure_len == again.departure_len &&
	    message.evacuations.end == again.evacuations.end &&
	    message.evacuations.name_len == again.evacuations.name_len);
	gossip_message_clear(&again);
	gossip_message_clear(&message);
}

static void
try_loan(char *data, size_t len)
{
	struct loan_message message;

	if (loan_decode(data, len, &message))
		loan_message_clear(&message);
}

static void
try_token(char *data, size_t len)
{
	struct token_message message;
	struct token_message again;
	char buf[TOKEN_MESSAGE_MAX];
	size_t size;

	if (!token_decode(data, len, &message))
		return;
	size = token_encode(buf, sizeof(buf), &message);
	check(size > 0 && token_decode(buf, size, &again));
	check(message.serial == again.serial && message.kind == again.kind);
}

static void
try_throttle(char *data, size_t len)
{
	struct throttle_message message;
	struct throttle_message again;
	char buf[THROTTLE_MESSAGE_MAX];
	size_t size;

	if (!throttle_message_decode(data, len, &message))
		return;
	size = throttle_message_encode(buf, sizeof(buf), &message);
	check(size > 0 && throttle_message_decode(buf, size, &again));
	check(message.serial == again.serial && message.kind == again.kind);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	/* The decoders don't write to it, but XDR takes a plain pointer. */
	g_autofree char *copy = g_memdup2(data, len);

	(void)loan_is_message(copy, len);
	(void)token_is_message(copy, len);
	(void)throttle_is_message(copy, len);
	try_gossip(copy, len);
	try_loan(copy, len);
	try_token(copy, len);
	try_throttle(copy, len);
	return (0);
}
