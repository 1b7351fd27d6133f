/*
 * answer: assembles a model engine's streamed answer.
 *
 * Splits the server-sent events of a chat-completions stream, passes each
 * chunk on, and collects the assistant's message and the token usage.
 */
#ifndef SAMPHIRESHED_ANS_H
#define SAMPHIRESHED_ANS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum size of one event in bytes. */
#define ANS_MAX_EVENT ((size_t)1024 * 1024)

struct ans;

struct ans_usage {
	int64_t prompt_tokens;
	int64_t completion_tokens;
	int64_t cached_tokens;
	bool reported; /* the engine sent a usage object */
};

/* Called with the JSON text of each chunk that has a choice. */
typedef void ans_on_chunk(const char *text, size_t len, void *arg);

struct ans *ans_open(ans_on_chunk *on_chunk, void *arg);
void ans_close(struct ans *answer);

/*
 * ans_feed(answer, data, len)
 *	Take the next bytes of the stream.
 * RETURN VALUES
 *	False if the data is not a chat-completions stream, or an event is too
 *	long.  All further calls then return false.
 */
bool ans_feed(struct ans *answer, const void *data, size_t len);

/* ans_is_complete(answer): whether the "[DONE]" event has arrived. */
bool ans_is_complete(const struct ans *answer);

/* ans_has_content(answer): whether a chunk with content has arrived. */
bool ans_has_content(const struct ans *answer);

/*
 * ans_usage(answer, usage)
 *	The usage the engine reported.  Without a report the completion is
 *	counted as one token for each chunk.
 */
void ans_usage(const struct ans *answer, struct ans_usage *usage);

/* ans_message(answer): the assistant's message, as a new reference. */
json_t *ans_message(const struct ans *answer);

/*
 * ans_completion(answer, id, model, program, turn)
 *	The whole answer as a chat.completion object with program_id and turn,
 *	as a new reference.
 */
json_t *ans_completion(const struct ans *answer, const char *id,
    const char *model, const char *program, unsigned turn);

#endif
