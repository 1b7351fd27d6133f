#include "cli/cli.h"

#include <stdarg.h>
#include <stdbool.h>
#include <string.h>

struct subcommand {
	const char *name;
	int (*run)(const struct cli_io *io, int argc, char **argv);
	const char *help;
};

static const struct subcommand subcommands[] = {
    {"serve", cli_serve, "run an instance"},
    {"serve-platform", cli_serve_platform,
	"run an instance on the users' platform"},
    {"check", cli_check, "validate a settings file or a file of objects"},
    {"init", cli_init, "generate the configuration from a questionnaire"},
    {"ctl", cli_ctl, "inspect and change a running fleet"},
};

static void
print_help(FILE *out)
{
	(void)fprintf(out,
	    "Usage: samphireshed SUBCOMMAND [OPTION...] [ARGUMENT...]\n"
	    "       samphireshed --help | --version\n\n"
	    "Distributed scheduler for agent programs.\n\n"
	    "Subcommands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++)
		(void)fprintf(out, "  %-16s%s\n", subcommands[i].name,
		    subcommands[i].help);
	(void)fprintf(out,
	    "\n\"samphireshed SUBCOMMAND --help\" describes a subcommand.\n"
	    "Exit status: 0 success, 1 failure, 2 bad usage.\n");
}

int
cli_run(const struct cli_io *io, int argc, char **argv)
{
	if (argc < 2) {
		print_help(io->err);
		return (CLI_USAGE);
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_help(io->out);
		return (CLI_OK);
	}
	if (strcmp(argv[1], "--version") == 0) {
		(void)fprintf(io->out, "samphireshed %s\n", CLI_VERSION);
		return (CLI_OK);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(subcommands); i++) {
		if (strcmp(argv[1], subcommands[i].name) == 0)
			return (subcommands[i].run(io, argc - 1, argv + 1));
	}
	return (cli_usage_error(io, NULL, "\"%s\" is no subcommand", argv[1]));
}

int
cli_usage_error(
    const struct cli_io *io, const char *subcommand, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, format);
	text = g_strdup_vprintf(format, ap);
	va_end(ap);
	(void)fprintf(io->err,
	    "samphireshed: %s; see \"samphireshed %s%s--help\"\n", text,
	    subcommand != NULL ? subcommand : "",
	    subcommand != NULL ? " " : "");
	return (CLI_USAGE);
}

void
cli_errors_print(const struct cli_io *io, const GPtrArray *errors)
{
	for (guint i = 0; i < errors->len; i++)
		(void)fprintf(io->err, "%s\n", (const char *)errors->pdata[i]);
}

int
cli_options_parse(const struct cli_io *io, int argc, char **argv,
    const GOptionEntry *entries, const char *synopsis, const char *description,
    char ***args)
{
	gboolean help = FALSE;
	const GOptionEntry help_entry[] = {
	    {"help", 'h', 0, G_OPTION_ARG_NONE, &help, "Show this help", NULL},
	    {0}};
	GOptionContext *context = g_option_context_new(synopsis);
	g_autofree char *program = g_strdup_printf("samphireshed %s", argv[0]);
	g_auto(GStrv) copy = g_new0(char *, (gsize)argc + 1);
	GError *error = NULL;
	int status = -1;

	for (int i = 0; i < argc; i++)
		copy[i] = g_strdup(i == 0 ? program : argv[i]);
	*args = NULL;
	/* GLib's own help ends the process, which a test could not survive. */
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, help_entry, NULL);
	g_option_context_set_description(context, description);
	g_set_prgname(program);
	if (!g_option_context_parse_strv(context, &copy, &error)) {
		status = cli_usage_error(io, argv[0], "%s", error->message);
		g_error_free(error);
	} else if (help) {
		g_autofree char *text =
		    g_option_context_get_help(context, TRUE, NULL);

		(void)fputs(text, io->out);
		status = CLI_OK;
	} else {
		*args = g_strdupv(copy + 1);
	}
	g_option_context_free(context);
	return (status);
}
