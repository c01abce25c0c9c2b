/**
 * @file keepers.h
 * Where instances are many, each endpoint's load is kept by one of them
 * (policy/keeper.h), which calls ask before they are sent there. keepers.c
 * keeps, ask.c asks, keeper_send.c sends what both have to say.
 */
#ifndef SERVE_KEEPERS_H
#define SERVE_KEEPERS_H

#include "policy/keeper.h"
#include "serve/digest.pb-c.h"
#include "serve/serve.h"

/** The answer to an ask. */
typedef struct keeper_answer {
	bool granted;
	ms_t wait;    /* until it may be granted, if it isn't */
	ms_t backlog; /* of prompts that are before it at the endpoint */
} keeper_answer_t;

void keepers_init(serve_t *s);
/** @return whether calls ask: there are many instances, and they keep */
bool keepers_used(const serve_t *s);
/**
 * @param to set to the instance that keeps the endpoint, NULL: this one does
 * @return false: none is known
 */
bool keeper_of(serve_t *s, ep_t *p, const peer_t **to);
void keepers_receive(
    serve_t *s, const Digest__KeeperMessage *m, const struct sockaddr_in *from);
/** An own share at an endpoint changed. */
void keepers_load_changed(serve_t *s, ep_t *p);
/** Grant what may be granted, and send what is due, after a loop turn. */
void keepers_flush(serve_t *s);
/** With each heartbeat. */
void keepers_tick(serve_t *s);
void keepers_forget_endpoint(serve_t *s, ep_t *p);

/** A call of this instance asks at an endpoint that it keeps. */
void keeper_ask_here(serve_t *s, ep_t *p, const keeper_ask_t *a);
/** It doesn't ask there any more, or has begun. */
void keeper_remove_here(serve_t *s, ep_t *p, uint32_t call);

/* ask.c */

/** An answer came. */
void ask_answered(serve_t *s, uint32_t call, ep_t *p, const keeper_answer_t *a);
/** Send the calls whose answers came. */
void asks_decide(serve_t *s);
void asks_forget_endpoint(serve_t *s, const ep_t *p);

/* What is sent to instances at the end of the loop turn. keeper_send.c */

void keeper_send_ask(
    serve_t *s, const struct sockaddr_in *to, ep_t *p, const keeper_ask_t *a);
void keeper_send_removed(
    serve_t *s, const struct sockaddr_in *to, const ep_t *p, uint32_t call);
void keeper_send_share(serve_t *s, const struct sockaddr_in *to, const ep_t *p);
void keeper_send_answer(serve_t *s, const struct sockaddr_in *to, const ep_t *p,
    uint32_t call, const keeper_answer_t *a);
void keeper_send_all(serve_t *s);
GArray *keeper_out_new(void);

/** What is kept, and what is to be sent. */
struct keepers {
	GHashTable *kept;   /* kept_t by ep_t */
	GHashTable *asking; /* call_t by its number */
	uint32_t number;    /* of the last call that asked */
	GPtrArray *changed; /* ep_t with an own share to be reported */
	bool used;	    /* calls ask */
	bool due;	    /* calls may be granted */
	bool decide;	    /* answers came */
	GArray *out;	    /* keeper_item_t */
	alarm_t alarm;	    /* when the next call may be granted */
};

#endif
