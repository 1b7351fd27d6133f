#include "lib/vd.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct code_info {
	const char *name;
	int status;
};

static const struct code_info code_table[] = {
    [VD_OK] = {"ok", 200},
    [VD_BAD_REQUEST] = {"bad_request", 400},
    [VD_BODY_TOO_LARGE] = {"body_too_large", 413},
    [VD_UNAUTHORIZED] = {"unauthorized", 401},
    [VD_FORBIDDEN] = {"forbidden", 403},
    [VD_KEY_WITHDRAWN] = {"key_withdrawn", 401},
    [VD_NOT_FOUND] = {"not_found", 404},
    [VD_METHOD_NOT_ALLOWED] = {"method_not_allowed", 405},
    [VD_UNKNOWN_MODEL] = {"unknown_model", 404},
    [VD_UNKNOWN_PROGRAM] = {"unknown_program", 404},
    [VD_PROGRAM_CLOSED] = {"program_closed", 409},
    [VD_KEY_REQUIRED] = {"idempotency_key_required", 400},
    [VD_KEY_REUSED] = {"idempotency_key_reused", 422},
    [VD_TURN_MISMATCH] = {"turn_mismatch", 409},
    [VD_TURN_LIMIT] = {"turn_limit", 409},
    [VD_BUDGET_EXCEEDED] = {"budget_exceeded", 402},
    [VD_RATE_EXCEEDED] = {"rate_exceeded", 429},
    [VD_QUEUE_FULL] = {"queue_full", 503},
    [VD_NO_UPSTREAM] = {"no_upstream", 503},
    [VD_UPSTREAM_FAILED] = {"upstream_failed", 502},
    [VD_UPSTREAM_TIMEOUT] = {"upstream_timeout", 504},
    [VD_REQUEST_CRASHES_UPSTREAM] = {"request_crashes_upstream", 422},
    [VD_OWNER_UNREACHABLE] = {"owner_unreachable", 503},
    [VD_OWNER_LOST] = {"owner_lost", 502},
    [VD_NOT_OWNER] = {"not_owner", 503},
    [VD_COPIES_UNAVAILABLE] = {"copies_unavailable", 503},
    [VD_HISTORY_UNPROVEN] = {"history_unproven", 503},
    [VD_OUTCOME_UNKNOWN] = {"outcome_unknown", 409},
    [VD_CONFIG_STALE] = {"config_stale", 503},
    [VD_STOPPING] = {"stopping", 503},
    [VD_CANCELLED] = {"cancelled", 499},
    [VD_INTERNAL] = {"internal", 500},
};

struct vd
vd_ok(void)
{
	return ((struct vd){.ran = VD_RAN, .code = VD_OK, .status = 200});
}

struct vd
vd_make(enum vd_ran ran, enum vd_code code, const char *format, ...)
{
	struct vd vd = {.ran = ran, .code = code};
	va_list ap;

	vd.status = code_table[code].status;
	va_start(ap, format);
	(void)vsnprintf(vd.detail, sizeof(vd.detail), format, ap);
	va_end(ap);
	return (vd);
}

bool
vd_is_ok(const struct vd *vd)
{
	return (vd->code == VD_OK);
}

const char *
vd_code_name(enum vd_code code)
{
	return (code_table[code].name);
}

enum vd_code
vd_code_parse(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(code_table); i++) {
		if (strcmp(code_table[i].name, name) == 0)
			return ((enum vd_code)i);
	}
	return (VD_INTERNAL);
}

const char *
vd_ran_name(enum vd_ran ran)
{
	switch (ran) {
	case VD_RAN:
		return ("yes");
	case VD_NOT_RUN:
		return ("no");
	default:
		return ("maybe");
	}
}

char *
vd_body(const struct vd *vd, const char *request_id)
{
	/* A caller's id need not be UTF-8, and may be missing. */
	g_autofree char *id =
	    g_utf8_make_valid(request_id != NULL ? request_id : "", -1);
	json_t *body;
	char *text, *copy;

	body = json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "code",
	    vd_code_name(vd->code), "message", vd->detail, "ran",
	    vd_ran_name(vd->ran), "request_id", id);
	text = json_dumps(body, JSON_COMPACT);
	copy = g_strdup(text != NULL ? text : "{}");
	free(text);
	json_decref(body);
	return (copy);
}
