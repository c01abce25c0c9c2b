/**
 * @file blame.h
 * Prompt parts and requests that crash endpoints: what this instance sees of
 * them, what the others report, and what becomes of calls with one. Decisions
 * are made by policy/blame.c.
 */
#ifndef SERVE_BLAME_H
#define SERVE_BLAME_H

#include "policy/blame.h"
#include "serve/digest.pb-c.h"
#include "serve/serve.h"

#include <jansson.h>

/** The state of this instance; one for each serve_t. */
struct blame_feed {
	serve_t *s;
	blame_t blame;
	alarm_t decide_alarm, send_alarm;
	GArray *unsent;	   /* unsent_evidence_t, in blame_send.c */
	GPtrArray *checks; /* struct crash_check, in crash_check.c */
	int ticks;	   /* seconds */
	bool news_due;	   /* part of the next datagram */
	int blamed_sends;  /* how often the blamed are still to be sent */
};

/* Crashes. crash_check.c */

/**
 * The connection of a call's attempt has ended: check whether the endpoint
 * still accepts connections.
 */
void crash_check(call_t *c);
/**
 * An endpoint took a connection.
 * @param begun when the connection was begun
 */
void crash_check_others(serve_t *s, const ep_t *p, ms_t begun);
/** What an instance finds that another one asked to connect to an endpoint. */
typedef enum check_result {
	CHECK_CONNECTED,
	CHECK_REFUSED, /* and another endpoint took a connection */
	CHECK_UNKNOWN,
} check_result_t;
/** Another instance asks whether this one can connect to an endpoint. */
void crash_check_asked(
    serve_t *s, uint32_t endpoint, const struct sockaddr_in *from);
/** Another instance answers. */
void crash_check_answered(serve_t *s, uint32_t endpoint, check_result_t result);

/* Calls and verdicts. blame.c */

void blame_feed_init(serve_t *s);
/** To be called every second. */
void blame_tick(serve_t *s);
enum {
	CALL_SUSPECTS_MAX = PREFIX_MAX + 1,
};

/**
 * What of a call may crash endpoints: the parts of its prompt until it begins,
 * and the whole request until it is completed.
 * @param list room for CALL_SUSPECTS_MAX
 * @return how many
 */
int call_suspects(const call_t *c, suspect_t *list);
/** A call began at @p at, so the parts of its prompt don't crash endpoints. */
void blame_call_began(call_t *c, ms_t at);
/** A call was completed: nothing of it crashes endpoints. */
void blame_call_completed(call_t *c);
/**
 * The call is about to be dispatched.
 * @return true if it may not be: it was answered, or waits
 */
bool blame_stops_call(call_t *c);
/** A call that is a trial was sent. */
void blame_trial_sent(call_t *c);
/** Evidence changed: decide when it is time. */
void blame_evidence_changed(serve_t *s);
/** End the calls with suspects that are newly blamed. */
void blame_enforce(serve_t *s);
/** A suspect is no longer blamed. @param why for the log */
void blame_log_cleared(suspect_t what, const char *why);
/** The blamed suspects for the lease, so that they outlive all instances. */
json_t *blame_json(const serve_t *s);
void blame_merge_json(serve_t *s, const json_t *list);

/* Messages. blame_send.c */

void blame_send_init(serve_t *s);
void blame_send_crash(serve_t *s, const blame_crash_t *c);
/**
 * Ask other instances whether they can connect to an endpoint.
 * @return how many were asked
 */
int blame_ask_check(serve_t *s, uint32_t endpoint);
/** Answer one that asked. */
void blame_send_check(serve_t *s, uint32_t endpoint, check_result_t result,
    const struct sockaddr_in *to);
/** The table of blamed suspects changed. */
void blame_send_blamed(serve_t *s);
/** Tell the holder what is blamed, if it may not know all of it. */
void blame_tell_holder(serve_t *s);
/** Passings are to be told; see blame_next_news(). */
void blame_send_news(serve_t *s);
/** Ask the holder whether a call with the suspect may be a trial. */
void blame_ask_trial(serve_t *s, suspect_t what);
void blame_receive(
    serve_t *s, Digest__Blame *m, const struct sockaddr_in *from);

#endif
