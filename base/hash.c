#include "base/base.h"
#include "base/hash.h"

#include <string.h>
#include <stdlib.h>
#include <arpa/inet.h>

uint64_t
hash64(const void *p, size_t n, uint64_t seed)
{
	return XXH64(p, n, seed);
}

uint64_t
hash_str(const char *s, uint64_t seed)
{
	return XXH64(s, strlen(s), seed);
}

void
hasher_init(hasher_t *h)
{
	XXH64_reset(&h->state, 0);
}

void
hasher_add(hasher_t *h, const void *p, size_t n)
{
	XXH64_update(&h->state, p, n);
}

void
hasher_add_str(hasher_t *h, const char *s)
{
	hasher_add(h, s, strlen(s) + 1);
}

uint64_t
hasher_sum(const hasher_t *h)
{
	return XXH64_digest(&h->state);
}

/* splitmix64 */
uint64_t
rng_next(rng_t *r)
{
	uint64_t z = (r->s += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

double
rng_unit(rng_t *r)
{
	return (double)(rng_next(r) >> 11) / 9007199254740992.0;
}

bool
str_copy(char *dst, size_t size, const char *src)
{
	size_t n = strlen(src);
	bool fits = n < size;

	if (!fits)
		n = 0;
	memmove(dst, src, n);
	dst[n] = '\0';
	return fits;
}

void
str_set(char *dst, size_t size, const char *src)
{
	if (!str_copy(dst, size, src))
		log_event(LOG_ERR, "text-too-long", "bytes=%zu most=%zu",
		    strlen(src), size - 1);
}

int
addr_split(
    const char *addr, char *host, size_t hostsize, uint16_t *port, err_t *e)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr ip;
	char *end;
	long n;

	if (colon == NULL || (size_t)(colon - addr) >= hostsize)
		return err_set(e, ERR_INVAL, "'%s' is not IP:port", addr);
	memcpy(host, addr, colon - addr);
	host[colon - addr] = '\0';
	n = strtol(colon + 1, &end, 10);
	if (inet_pton(AF_INET, host, &ip) != 1 || *end != '\0' ||
	    end == colon + 1 || n < 1 || n > 65535)
		return err_set(e, ERR_INVAL, "'%s' is not IP:port", addr);
	*port = n;
	return 0;
}
