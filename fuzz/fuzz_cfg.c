/*
 * Fuzz target: records of the configuration log and the parts of a peer's
 * state.  Each line of the input is an operation; see run_line().  What the
 * configuration exports must start a fresh instance in the same state.
 */
#include <stdlib.h>
#include <string.h>

#include "config/cfg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

static void
run_line(struct cfg *cfg, const char *line, size_t len)
{
	uint64_t frontier = cfg_frontier(cfg);
	g_autofree char *text = g_strndup(line + 1, len - 1);

	switch (line[0]) {
	case 'a': /* the next record of the log */
		(void)cfg_apply(cfg, frontier + 1, line + 1, len - 1);
		/* It may also be a snapshot that leads further. */
		check(cfg_frontier(cfg) > frontier);
		break;
	case 'h': /* a record above a gap */
		(void)cfg_apply(cfg, frontier + 3, line + 1, len - 1);
		break;
	case 'i': /* a part of a peer's state */
		(void)cfg_import(cfg, line + 1, len - 1);
		break;
	case 'w': /* the id of a key */
		if (cfg_key_withdraw(cfg, text))
			check(cfg_key_is_withdrawn(cfg, text));
		break;
	case 'p': /* offsets without a record */
		cfg_skip_offsets(cfg, frontier + 1, frontier + 1 + len);
		break;
	case 'r': /* a path */
		(void)cfg_route_match(cfg, text);
		break;
	default:
		break;
	}
	check(cfg_frontier(cfg) >= frontier);
}

static void
check_export(const struct cfg *cfg)
{
	struct cfg_options options = {0};
	struct cfg *fresh = cfg_open(&options);
	GPtrArray *parts = cfg_export(cfg, 1, 256);
	bool whole = parts->len <= 4096;

	for (guint i = 0; whole && i < parts->len; i++) {
		const char *text = g_ptr_array_index(parts, i);

		check(cfg_import(fresh, text, strlen(text)));
	}
	for (int kind = 0; whole && kind < CFG_KINDS; kind++)
		check(cfg_count(cfg, kind) == cfg_count(fresh, kind));
	if (whole)
		check(cfg_frontier(cfg) == cfg_frontier(fresh));
	g_ptr_array_unref(parts);
	cfg_close(fresh);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct cfg_options options = {.max_held = 8, .max_history = 8};
	struct cfg *cfg = cfg_open(&options);
	const char *line = (const char *)data;
	const char *end = line + len;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));

		if (stop == NULL)
			stop = end;
		if (stop > line)
			run_line(cfg, line, (size_t)(stop - line));
		line = stop + 1;
	}
	check_export(cfg);
	cfg_close(cfg);
	return (0);
}
