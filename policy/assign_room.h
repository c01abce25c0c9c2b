/**
 * @file assign_room.h
 * Which copies at which endpoint make room for a model. Internal to assign.c.
 */
#ifndef ASSIGN_ROOM_H
#define ASSIGN_ROOM_H

#include "policy/assign.h"

enum {
	/* A model that is asked for weighs twice as much after so long. */
	AGEING_MS = 4000,
};

/** What may be unloaded for a model. */
typedef enum room_kind {
	ROOM_FOR_MISSING, /* it has no copy, and calls ask for it */
	ROOM_FOR_DEMAND,  /* one more copy */
} room_kind_t;

typedef struct room {
	int ep;	  /* -1: none can be made */
	int copy; /* to be unloaded next, index into assign_input_t.copy */
	double cost;
	/* Without room: ms until some may be made, -1: not known. */
	ms_t in;
} room_t;

/** @return the demand that a model loses if one of its copies goes */
double assign_copy_demand(const assign_model_t *m);
/** @return whether the model's weights are cached at the endpoint */
bool assign_is_cached(const assign_input_t *in, const assign_ep_t *p, int m);
/** @return whether the endpoint has a copy of the model, in whatever state */
bool assign_has_copy(const assign_input_t *in, const assign_ep_t *p, int m);
/** @return MB that unloads in progress at the endpoint will free */
double assign_unloading_mb(const assign_input_t *in, const assign_ep_t *p);
/** Find the endpoint where room for a model costs least. */
room_t assign_find_room(const assign_input_t *in, int m, room_kind_t kind);
/** The same at one endpoint. */
room_t assign_room_at(const assign_input_t *in, int e, int m, room_kind_t kind);

#endif
