/*
 * standin: stand-ins for the systems around samphireshed.
 *
 * Each subcommand of the program is one file with a function sti_NAME_main().
 * This header has what they share: the loop, the HTTP server, options, JSON
 * replies and one-shot timers.  All of them listen on 127.0.0.1 only.
 */
#ifndef SAMPHIRESHED_STANDIN_H
#define SAMPHIRESHED_STANDIN_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/web.h"

struct sti {
	struct ev_loop *loop;
	struct clk clk;
	struct web *web;
	int listen_port;
	int max_seconds;
	int64_t seed;
	ev_timer end;
	ev_signal term;
	ev_signal interrupt;
};

/*
 * sti_parse(sti, name, entries, argc, argv)
 *	Read the options in entries and those common to all stand-ins, and
 *	create the loop.  Exits with status 2 for bad usage.
 */
void sti_parse(struct sti *sti, const char *name, const GOptionEntry *entries,
    int argc, char **argv);

/* sti_listen(sti, port, handler, arg): start a server; exits on failure. */
struct web *
sti_listen(struct sti *sti, int port, web_handler *handler, void *arg);

/*
 * sti_run(sti, port, control_port)
 *	Print "listening PORT" (and "control PORT" if it is not 0) and run the
 *loop until SIGTERM, SIGINT or the end of --max-seconds.  Does not return.
 */
void sti_run(struct sti *sti, unsigned port, unsigned control_port)
    __attribute__((noreturn));

clk_ms sti_now(const struct sti *sti);

/* sti_after(sti, delay, fire, arg): call fire(arg) once after delay ms. */
void
sti_after(struct sti *sti, clk_ms delay, void (*fire)(void *arg), void *arg);

/* sti_is(req, method, path): whether the request line has both. */
bool sti_is(const struct web_req *req, const char *method, const char *path);

/*
 * sti_reply(req, status, json)
 *	Answer with json, whose reference is taken over.
 */
void sti_reply(struct web_req *req, int status, json_t *json);

/*
 * sti_reply_later(sti, req, delay, status, json)
 *	The same after delay ms.
 */
void sti_reply_later(struct sti *sti, struct web_req *req, clk_ms delay,
    int status, json_t *json);

/* sti_reply_error(req, status, code): answer {"error":{"code"}}. */
void sti_reply_error(struct web_req *req, int status, const char *code);

/*
 * sti_body(req)
 *	Return the body as JSON (a new reference).  An empty or wrong body is
 *	answered with 400 and nil is returned.
 */
json_t *sti_body(struct web_req *req);

/* sti_query(req, name, preset): a query argument as a number. */
int64_t sti_query(struct web_req *req, const char *name, int64_t preset);

/*
 * sti_take_bool(control, name, value), sti_take_int(control, name, value)
 *	Set *value if control has the member.
 */
void sti_take_bool(const json_t *control, const char *name, bool *value);
void sti_take_int(const json_t *control, const char *name, int64_t *value);

/* sti_hash(seed, data, len): 64-bit FNV-1a with a final mix. */
uint64_t sti_hash(uint64_t seed, const void *data, size_t len);

int sti_log_main(int argc, char **argv);
int sti_members_main(int argc, char **argv);
int sti_weights_main(int argc, char **argv);
int sti_engine_main(int argc, char **argv);
int sti_service_main(int argc, char **argv);
int sti_proxy_main(int argc, char **argv);

#endif
