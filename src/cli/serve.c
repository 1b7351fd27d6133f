#include "cli/cli.h"
#include "daemon/daemon.h"
#include "settings/settings.h"

int
cli_serve(const struct cli_io *io, int argc, char **argv)
{
	g_autofree char *config = NULL;
	const GOptionEntry entries[] = {
	    {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
		"Settings file of this instance", "FILE"},
	    {0}};
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	g_auto(GStrv) args = NULL;
	struct settings *set;
	int status;

	status = cli_options_parse(io, argc, argv, entries, NULL,
	    "Runs an instance in the foreground until SIGTERM or SIGINT. See "
	    "samphireshed.yaml(5).",
	    &args);
	if (status >= 0)
		return (status);
	if (config == NULL || args[0] != NULL)
		return (
		    cli_usage_error(io, "serve", "accepted is --config FILE"));
	set = settings_load(config, errors);
	if (set == NULL) {
		cli_errors_print(io, errors);
		return (CLI_FAILURE);
	}
	status = daemon_run(set);
	settings_free(set);
	return (status);
}
