#include "serve/spread.h"

#include <string.h>

static size_t
pack(const Digest__Digest *d, uint8_t *bytes, size_t size)
{
	size_t n = digest__digest__get_packed_size(d);

	if (n > size) {
		log_limited(LOG_WARNING, "digest-cut", "bytes=%zu", n);
		return 0;
	}
	return digest__digest__pack(d, bytes);
}

void
spread_to(serve_t *s, Digest__Digest *d, const struct sockaddr_in *to)
{
	static uint8_t bytes[DATAGRAM_MAX];
	size_t n = pack(d, bytes, sizeof(bytes));

	if (n > 0)
		send_datagram(s, to, bytes, n);
}

/* To one instance of each other failure domain, which passes it on. */
static void
send_to_relays(serve_t *s, const uint8_t *bytes, size_t n)
{
	const char *done[CONF_DOMAINS_MAX];
	int i, k, ndone = 0;

	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i], *relay;

		if (peer_same_domain(s, p))
			continue;
		for (k = 0; k < ndone && strcmp(done[k], p->domain) != 0; k++)
			;
		if (k < ndone || ndone == CONF_DOMAINS_MAX)
			continue;
		done[ndone++] = p->domain;
		relay = domain_relay(s, p->domain);
		if (relay != NULL)
			send_datagram(s, &relay->sa, bytes, n);
	}
}

void
spread(serve_t *s, Digest__Digest *d, protobuf_c_boolean *pass_on)
{
	static uint8_t bytes[DATAGRAM_MAX];
	size_t n = pack(d, bytes, sizeof(bytes));
	int i;

	if (n == 0)
		return;
	if (s->peers.npeer < DOMAIN_RELAY_MIN_PEERS) {
		for (i = 0; i < s->peers.npeer; i++)
			send_datagram(s, &s->peers.peer[i]->sa, bytes, n);
		return;
	}
	send_within_domain(s, bytes, n);
	*pass_on = true;
	n = pack(d, bytes, sizeof(bytes));
	if (n > 0)
		send_to_relays(s, bytes, n);
	*pass_on = false;
}

void
spread_on(serve_t *s, Digest__Digest *d, protobuf_c_boolean *pass_on)
{
	static uint8_t bytes[DATAGRAM_MAX];
	size_t n;

	if (!*pass_on)
		return;
	*pass_on = false;
	n = pack(d, bytes, sizeof(bytes));
	if (n > 0)
		send_within_domain(s, bytes, n);
}

const peer_t *
live_holder(const serve_t *s)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->holder && peer_alive(s, s->peers.peer[i]))
			return s->peers.peer[i];
	return NULL;
}
