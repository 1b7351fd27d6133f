/*
 * tcp: options of the sockets of HTTP connections.
 */
#ifndef SAMPHIRESHED_TCP_H
#define SAMPHIRESHED_TCP_H

/*
 * When a connection whose peer is silent is given up.  user_timeout_ms is for
 * data that is not acknowledged, the others are for keepalive probes.
 */
struct tcp_limits {
	int user_timeout_ms;
	int probe_after_s;
	int probe_period_s;
	int probes;
};

/*
 * tcp_prepare(fd, limits)
 *	Send without delay and find a dead peer.  A failure leaves the
 *	kernel's defaults in force.
 */
void tcp_prepare(int fd, const struct tcp_limits *limits);

#endif
