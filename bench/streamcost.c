/*
 * CPU time and bytes of the records that say which software version began a
 * stream: sending one to its homes, receiving one, answering a question, and
 * the size of the table. Arguments: peers, streams a second of an instance,
 * seconds that a stream lasts; by default those of the target.
 */
#include "serve/shares.h"

#include <stdio.h>
#include <stdlib.h>
#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	STREAMS = 20000, /* measured */
	TARGET_PEERS = 2199,
	TARGET_RATE = 50, /* 110,000 a second over 2,200 instances */
	TARGET_LIFE_S = 15,
	DATAGRAM_OVERHEAD = 28, /* bytes of the IP and UDP headers */
};

static double
cpu_us(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static int
udp_socket(struct sockaddr_in *sa)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	socklen_t len = sizeof(*sa);

	*sa = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	if (fd == -1 || bind(fd, (struct sockaddr *)sa, len) == -1 ||
	    getsockname(fd, (struct sockaddr *)sa, &len) == -1) {
		perror("streamcost");
		exit(1);
	}
	return fd;
}

/* An instance whose peers all have the address of one socket. */
static serve_t *
instance_new(int npeer, int *sink)
{
	serve_t *s = calloc(1, sizeof(*s));
	struct sockaddr_in sa, own;
	int i;

	if (s == NULL)
		abort();
	s->loop.now = clock_now(&machine_clock);
	streams_init(s);
	s->calls = table_new(sizeof(call_t *), 16);
	*sink = udp_socket(&sa);
	s->peers.watch.fd = udp_socket(&own);
	s->peers.peer = calloc((size_t)npeer, sizeof(peer_t *));
	s->peers.npeer = npeer;
	for (i = 0; i < npeer; i++) {
		peer_t *p = calloc(1, sizeof(*p));

		if (p == NULL)
			abort();
		snprintf(p->instance, ID_MAX, "entry-%d", i);
		p->hash = hash_str(p->instance, 0);
		p->sa = sa;
		p->last_heard_at = s->loop.now;
		s->peers.peer[i] = p;
	}
	return s;
}

/* Reads what the socket holds. @return the number of datagrams */
static int
drain(int fd, uint8_t *last, size_t *n, double *bytes)
{
	ssize_t got;
	int count = 0;

	while ((got = recv(fd, last, DATAGRAM_MAX, MSG_DONTWAIT)) > 0) {
		*n = (size_t)got;
		*bytes += (double)got + DATAGRAM_OVERHEAD;
		count++;
	}
	return count;
}

int
main(int argc, char **argv)
{
	int npeer = argc > 1 ? atoi(argv[1]) : TARGET_PEERS;
	double rate = argc > 2 ? atof(argv[2]) : TARGET_RATE;
	double life = argc > 3 ? atof(argv[3]) : TARGET_LIFE_S;
	uint8_t bytes[DATAGRAM_MAX];
	double sent = 0, received = 0, wire = 0, at, per_stream, per_second;
	rng_t r = { 7 };
	size_t n = 0;
	int sink, i, datagrams = 0, kept = 0;
	serve_t *s = instance_new(npeer, &sink);

	for (i = 0; i < STREAMS; i++) {
		stream_record_t rec = { rng_next(&r), rng_next(&r),
			s->loop.now + (ms_t)(life * 1000) };

		at = cpu_us();
		g_array_append_val(s->unsent_streams, rec);
		streams_flush(s);
		sent += cpu_us() - at;
		kept = drain(sink, bytes, &n, &wire);
		datagrams += kept;
		if (kept == 0)
			continue;
		/* As many are received as are sent. */
		at = cpu_us();
		while (kept-- > 0) {
			Digest__Digest *d =
			    digest__digest__unpack(NULL, n, bytes);

			streams_receive(s, d->streams, &s->peers.peer[0]->sa);
			digest__digest__free_unpacked(d, NULL);
		}
		received += cpu_us() - at;
	}
	per_stream = (sent + received) / STREAMS;
	per_second = rate * per_stream / 1e6;
	printf("peers=%d datagrams_per_stream=%.2f bytes_per_stream=%.0f "
	       "send_us=%.1f receive_us=%.1f\n",
	    npeer, (double)datagrams / STREAMS, wire / STREAMS, sent / STREAMS,
	    received / STREAMS);
	printf("at %.0f streams/s: core_percent=%.2f kb_out_per_s=%.1f "
	       "records=%.0f\n",
	    rate, 100 * per_second, rate * wire / STREAMS / 1000,
	    rate * life * datagrams / STREAMS);
	return 0;
}
