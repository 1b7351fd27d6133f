/*
 * answer: assembles a model engine's streamed answer.
 *
 * Splits the server-sent events of a chat-completions stream, passes each
 * chunk on, and collects the assistant's message and the token usage.
 */
#ifndef SAMPHIRESHED_ANSWER_H
#define SAMPHIRESHED_ANSWER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum size of one event in bytes. */
#define ANSWER_MAX_EVENT_BYTES ((size_t)1024 * 1024)

struct answer_stream;

struct answer_usage {
	int64_t prompt_tokens;
	int64_t completion_tokens;
	int64_t cached_tokens;
	bool reported; /* the engine sent a usage object */
};

/* Called with the JSON text of each chunk that has a choice. */
typedef void answer_on_chunk(const char *text, size_t len, void *arg);

struct answer_stream *answer_open(answer_on_chunk *on_chunk, void *arg);
void answer_close(struct answer_stream *answer);

/*
 * answer_feed(answer, data, len)
 *	Take the next bytes of the stream.
 * RETURN VALUES
 *	False if the data is not a chat-completions stream, or an event is too
 *	long.  All further calls then return false.
 */
bool answer_feed(struct answer_stream *answer, const void *data, size_t len);

/* answer_is_complete(answer): whether the "[DONE]" event has arrived. */
bool answer_is_complete(const struct answer_stream *answer);

/* answer_has_content(answer): whether a chunk with content has arrived. */
bool answer_has_content(const struct answer_stream *answer);

/*
 * answer_usage(answer, usage)
 *	The usage the engine reported.  Without a report the completion is
 *	counted as one token for each chunk.
 */
void
answer_usage(const struct answer_stream *answer, struct answer_usage *usage);

/* answer_message(answer): the assistant's message, as a new reference. */
json_t *answer_message(const struct answer_stream *answer);

/*
 * answer_completion(answer, id, model, program, turn)
 *	The whole answer as a chat.completion object with program_id and turn,
 *	as a new reference.
 */
json_t *answer_completion(const struct answer_stream *answer, const char *id,
    const char *model, const char *program, unsigned turn);

#endif
