/**
 * @file reach.h
 * Whether an instance can connect to the endpoints of a service.
 *
 * Only connections that are being made count: a partition may leave old ones
 * alone, or let bytes pass in one direction. An endpoint that can't be
 * connected to is probed until it can. Several that can't, and none that can
 * since the first of them, mean that the way to the whole service is lost: the
 * others needn't be tried first. The first connection that is made ends that.
 * Endpoints that fall silent say nothing by themselves; they are a reason to
 * connect to some.
 */
#ifndef REACH_H
#define REACH_H

#include "base/base.h"

enum {
	REACH_FAILURES_NEEDED = 3, /* of different endpoints, if there are */
	/* Between probes of a service, and until the first of an endpoint. */
	REACH_PROBE_INTERVAL_MS = 250,
	REACH_PROBE_INTERVAL_MAX_MS = 2000, /* of an endpoint; doubles */
	/* Silence of all endpoints that owe an answer, until some are probed */
	REACH_QUIET_MS = 500,
};

/** The way to an endpoint. */
typedef enum way {
	WAY_OPEN,    /* by what is known */
	WAY_DOUBTED, /* the way to its service is lost */
	WAY_FAILED,  /* a connection wasn't made */
} way_t;

/** What is known of the way to one endpoint. All zero: it is open. */
typedef struct reach_ep {
	way_t way;
	ms_t probe_at; /* if it failed */
	ms_t interval;
} reach_ep_t;

/** A connection wasn't made. */
void reach_ep_failed(reach_ep_t *e, ms_t now);
/** One was made. */
void reach_ep_connected(reach_ep_t *e);

/** What is known of the way to one service. All zero: nothing. */
typedef struct reach {
	bool lost;
	ms_t lost_at;
	uint32_t
	    failed[REACH_FAILURES_NEEDED]; /* since a connection was made */
	int nfailed;
	ms_t
	    asked_at; /* first call sent since an answer's last byte, 0: none */
	ms_t probed_at; /* last probes, 0: never */
} reach_t;

/** A connection was made. @return whether the way was lost until now */
bool reach_connected(reach_t *r);
/**
 * A connection to an endpoint that hadn't failed was refused, or not made in
 * time.
 * @param endpoint hash of its id
 * @param open endpoints of the service that hadn't failed, this one included
 * @return whether the way is lost from now on
 */
bool reach_failed(reach_t *r, uint32_t endpoint, int open, ms_t now);
/** A call was sent on a connection that was there. */
void reach_asked(reach_t *r, ms_t now);
/** Bytes of an answer came. */
void reach_heard(reach_t *r);
/** @return whether connections failed, and none was made since */
bool reach_is_failing(const reach_t *r);
/** @return when silence is a reason to probe, 0: it isn't */
ms_t reach_quiet_at(const reach_t *r);
void reach_probed(reach_t *r, ms_t now);

#endif
