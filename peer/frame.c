#include "peer/peer.h"

enum {
	LENGTH_BYTES = 4
};

size_t
frame_size(const Wire__Frame *f)
{
	return LENGTH_BYTES + wire__frame__get_packed_size(f);
}

size_t
frame_pack(const Wire__Frame *f, uint8_t *out)
{
	size_t n = wire__frame__pack(f, out + LENGTH_BYTES);

	out[0] = n >> 24;
	out[1] = n >> 16;
	out[2] = n >> 8;
	out[3] = n;
	return LENGTH_BYTES + n;
}

Wire__Frame *
frame_unpack(const uint8_t *buf, size_t len, size_t max, size_t *used, err_t *e)
{
	Wire__Frame *f;
	size_t n;

	*used = 0;
	if (len < LENGTH_BYTES)
		return NULL;
	n = (size_t)buf[0] << 24 | buf[1] << 16 | buf[2] << 8 | buf[3];
	if (n == 0 || n > max) {
		err_set(e, ERR_PROTO,
		    "frame of %zu bytes; 1 to %zu are allowed", n, max);
		return NULL;
	}
	if (len < LENGTH_BYTES + n)
		return NULL;
	f = wire__frame__unpack(NULL, n, buf + LENGTH_BYTES);
	if (f == NULL) {
		err_set(e, ERR_PROTO, "frame of %zu bytes is malformed", n);
		return NULL;
	}
	if (f->version != WIRE_VERSION) {
		err_set(e, ERR_PROTO, "wire version is %u instead of %d",
		    f->version, WIRE_VERSION);
		wire__frame__free_unpacked(f, NULL);
		return NULL;
	}
	*used = LENGTH_BYTES + n;
	return f;
}
