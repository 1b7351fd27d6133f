/*
 * Tokens that an instance asks of an organisation's home.
 *
 * An instance that may admit no further request of an organisation before its
 * next report asks the organisation's home, see quota.h, by a datagram.  A
 * token that is not used is returned.  A lost datagram can only make the
 * organisation's limit smaller.
 *
 * This module has the messages.  It does no input or output.
 */
#ifndef SAMPHIRESHED_TOKEN_H
#define SAMPHIRESHED_TOKEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "quota/quota.h"

/* Longest message, in bytes. */
#define TOKEN_MESSAGE_MAX 64

enum token_kind {
	TOKEN_ASK, /* to the home */
	TOKEN_ANSWER, /* from the home */
	TOKEN_RETURN /* to the home */
};

struct token_message {
	uint32_t kind; /* enum token_kind */
	uint64_t serial; /* assigned by the instance that asks */
	struct quota_limit limit; /* of the organisation */
	uint32_t priority; /* enum quota_priority, as far as the sender knows */
	uint64_t program; /* active_programs_hash(); 0: the request has none */
	/*
	 * roster_hash() of an instance: of a question, which one asks; of an
	 * answer, to which one the program's first request came, 0 if that is
	 * not known.
	 */
	uint32_t instance;
	bool is_granted;
	uint32_t wait_ms; /* until there is a token, if none is granted */
};

/*
 * token_encode(buf, size, message)
 *	Returns the length, or 0 if the message does not fit.
 * token_decode(buf, len, message)
 *	Returns false if the bytes are not a valid message.
 * token_is_message(buf, len)
 *	Whether the bytes start with the protocol version of these messages.
 */
size_t
token_encode(char *buf, size_t size, const struct token_message *message);
bool token_decode(char *buf, size_t len, struct token_message *message);
bool token_is_message(const char *buf, size_t len);

#endif
