/**
 * @file giver.h
 * Which instance gives an organisation's allowance. All instances choose the
 * same one by weighted rendezvous hashing, as far as they know the same
 * instances. One that changes its giver may be counted by both for a moment, so
 * it changes rarely, or leaves a pause.
 */
#ifndef GIVER_H
#define GIVER_H

#include "base/base.h"

enum {
	GIVERS_AVOIDED = 4,
};

/** An instance that can give. */
typedef struct giver_candidate {
	uint64_t instance; /* hash of its name */
	double weight;	   /* its share of a processor */
} giver_candidate_t;

/** An instance's giver of one group of organisations; zero at first. */
typedef struct giver {
	uint64_t instance; /* 0: none yet */
	ms_t changed_at;   /* 0: never */
	ms_t told_at;	   /* the last message to it */
	uint64_t better;   /* ranks before it */
	ms_t better_since;
	struct {
		uint64_t instance;
		ms_t until;
	} avoided[GIVERS_AVOIDED]; /* they didn't answer */
} giver_t;

/**
 * Leave out those with less than half of the greatest share of a processor.
 * @return how many are left, at the front of @p c
 */
int giver_strong(giver_candidate_t *c, int n);
/** @return the number of groups that organisations are divided into */
int giver_groups(int instances);
/**
 * @param own this instance, which is among the candidates if it can give
 * @param window over which allowances are judged
 * @param ended the present giver has said that it gives no more
 * @return the instance to ask now, 0: none, until a pause is over
 */
uint64_t giver_choose(giver_t *g, uint32_t group, uint64_t own,
    const giver_candidate_t *c, int n, ms_t window, bool ended, ms_t now);
/** A message was sent to the giver. */
void giver_told(giver_t *g, ms_t now);
/** The giver doesn't answer: another one is asked for a while. */
void giver_silent(giver_t *g, ms_t now);

#endif
