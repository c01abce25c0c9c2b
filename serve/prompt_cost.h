/**
 * @file prompt_cost.h
 * What prompts of each model cost to read, where endpoints tell their pace.
 * Instances tell each other what they saw, as each sees few prompts that are
 * read alone.
 */
#ifndef SERVE_PROMPT_COST_H
#define SERVE_PROMPT_COST_H

#include "serve/digest.pb-c.h"
#include "serve/serve.h"

void prompt_costs_init(serve_t *s);
/** An endpoint told how long work takes there, in hundredths. */
void endpoint_pace_reported(serve_t *s, ep_t *p, int hundredths, ms_t at);
/**
 * @return whether prompts are sent to a service at the pace of its endpoints:
 * these tell how long work takes, or organisations share them
 */
bool service_is_paced(const serve_t *s, const char *service);
/** @return reference tokens for a prompt token of the model */
double prompt_cost(const serve_t *s, const char *service, const char *model);
/** The first event of a call came from its endpoint. */
void prompt_cost_observe(const call_t *c);
/** Add what was seen since the last heartbeat to one. */
void prompt_costs_add(serve_t *s, Digest__Digest *d);
/** The heartbeat was sent. */
void prompt_costs_sent(serve_t *s);
void prompt_costs_receive(serve_t *s, const Digest__Digest *d);

#endif
