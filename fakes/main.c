#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
} commands[] = {{"log", sti_log_main}, {"members", sti_members_main},
    {"weights", sti_weights_main}, {"engine", sti_engine_main},
    {"service", sti_service_main}, {"proxy", sti_proxy_main}};

int
main(int argc, char **argv)
{
	/* A caller that leaves must not end the process. */
	(void)signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return (commands[i].run(argc - 1, argv + 1));
	}
	(void)fprintf(stderr,
	    "usage: standin log|members|weights|engine|service|proxy "
	    "[--help] [option ...]\n");
	return (2);
}
