/* The weight store, whose bandwidth all requests share. */
#include <string.h>

#include "standin.h"

#define TICK_MS 20

struct load {
	struct web_req *req;
	char *model;
	double left; /* bytes */
	clk_ms started;
};

struct weights {
	struct sti sti;
	int64_t bytes;
	int64_t bytes_per_second;
	GQueue loads; /* struct load */
	ev_timer tick;
	clk_ms last;
	int64_t served;
};

static void
load_end(struct weights *weights, struct load *load, clk_ms now)
{
	weights->served++;
	sti_reply(load->req, 200,
	    json_pack("{s:s,s:I,s:I}", "model", load->model, "bytes",
		(json_int_t)weights->bytes, "took_ms",
		(json_int_t)(now - load->started)));
	g_free(load->model);
	g_free(load);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct weights *weights = watcher->data;
	clk_ms now = sti_now(&weights->sti);
	double share = (double)weights->bytes_per_second *
	    (double)(now - weights->last) / 1000.0;

	(void)loop;
	(void)events;
	weights->last = now;
	if (weights->loads.length == 0)
		return;
	share /= weights->loads.length;
	for (GList *l = weights->loads.head, *next; l != NULL; l = next) {
		struct load *load = l->data;

		next = l->next;
		load->left -= share;
		if (load->left > 0 && !web_is_gone(load->req))
			continue;
		g_queue_delete_link(&weights->loads, l);
		load_end(weights, load, now);
	}
}

static void
on_request(struct web_req *req, void *arg)
{
	struct weights *weights = arg;
	struct load *load;

	if (sti_is(req, "GET", "/control/stats")) {
		sti_reply(req, 200,
		    json_pack("{s:I,s:I}", "served",
			(json_int_t)weights->served, "active",
			(json_int_t)weights->loads.length));
		return;
	}
	if (strcmp(web_method(req), "GET") != 0 ||
	    !g_str_has_prefix(web_path(req), "/weights/")) {
		sti_reply_error(req, 404, "not_found");
		return;
	}
	load = g_new0(struct load, 1);
	load->req = req;
	load->model = g_strdup(web_path(req) + strlen("/weights/"));
	load->left = (double)weights->bytes;
	load->started = sti_now(&weights->sti);
	g_queue_push_tail(&weights->loads, load);
}

int
sti_weights_main(int argc, char **argv)
{
	struct weights *weights = g_new0(struct weights, 1);
	GOptionEntry entries[] = {
	    {"bytes", 0, 0, G_OPTION_ARG_INT64, &weights->bytes,
		"Size of a model (1000000)", "N"},
	    {"bytes-per-second", 0, 0, G_OPTION_ARG_INT64,
		&weights->bytes_per_second,
		"Bandwidth of all requests together (10000000)", "N"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	weights->bytes = 1000000;
	weights->bytes_per_second = 10000000;
	sti_parse(&weights->sti, "weights", entries, argc, argv);
	weights->last = sti_now(&weights->sti);
	ev_timer_init(
	    &weights->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
	weights->tick.data = weights;
	ev_timer_start(weights->sti.loop, &weights->tick);
	weights->sti.web = sti_listen(
	    &weights->sti, weights->sti.listen_port, on_request, weights);
	sti_run(&weights->sti, web_port(weights->sti.web), 0);
}
