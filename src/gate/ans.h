/*
 * ans: a model engine's streamed answer.
 *
 * Splits the server-sent events of a chat-completions stream, passes each
 * chunk on, and puts the assistant's message and the token usage together.
 */
#ifndef SAMPHIRESHED_ANS_H
#define SAMPHIRESHED_ANS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes of one event; a longer one is an error. */
#define ANS_MAX_EVENT ((size_t)1024 * 1024)

struct ans;

struct ans_usage {
	int64_t prompt_tokens;
	int64_t completion_tokens;
	int64_t cached_tokens;
	bool reported; /* the engine sent a usage object */
};

/* Called for each chunk that carries content, with its JSON text. */
typedef void ans_on_chunk(const char *text, size_t len, void *arg);

struct ans *ans_open(ans_on_chunk *on_chunk, void *arg);
void ans_close(struct ans *ans);

/*
 * ans_feed(ans, data, len)
 *	Take the next bytes of the stream.
 * RETURN VALUES
 *	False if the stream is not a chat-completions stream; it must then be
 *	given up.
 */
bool ans_feed(struct ans *ans, const void *data, size_t len);

/* ans_is_complete(ans): whether the closing "[DONE]" event has arrived. */
bool ans_is_complete(const struct ans *ans);

/* ans_has_content(ans): whether any chunk with content was passed on. */
bool ans_has_content(const struct ans *ans);

/*
 * ans_usage(ans, usage)
 *	The usage the engine reported.  Without a report the completion is
 *	counted as one token for each chunk.
 */
void ans_usage(const struct ans *ans, struct ans_usage *usage);

/* ans_message(ans): the assistant's message; a new reference. */
json_t *ans_message(const struct ans *ans);

/*
 * ans_completion(ans, id, model, program, turn)
 *	The whole answer as a chat.completion object with program_id and turn;
 *	a new reference.
 */
json_t *ans_completion(const struct ans *ans, const char *id, const char *model,
    const char *program, unsigned turn);

#endif
