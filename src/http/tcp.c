#include "http/tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

static void
set(int fd, int level, int option, int value)
{
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

void
tcp_prepare(int fd, const struct tcp_limits *limits)
{
	set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set(fd, IPPROTO_TCP, TCP_KEEPIDLE, limits->probe_after_s);
	set(fd, IPPROTO_TCP, TCP_KEEPINTVL, limits->probe_period_s);
	set(fd, IPPROTO_TCP, TCP_KEEPCNT, limits->probes);
	set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, limits->user_timeout_ms);
}
