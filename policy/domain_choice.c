#include "policy/domain_choice.h"

/*
 * A call that is expected to begin within this part of its time gains nothing
 * if it begins sooner; the rest is for what isn't known of the endpoint.
 */
static const double good_time_part = 0.25;
/* What traffic between domains costs, in a caller's time. */
static const double ms_per_kbyte = 1;

double
domain_price_ms(const domain_choice_t *d)
{
	return d->round_trip_ms + ms_per_kbyte * d->bytes / 1024;
}

domain_decision_t
domain_decide(const domain_choice_t *d)
{
	double good_ms = good_time_part * d->left_ms, remote_ms;

	if (d->home_ms < 0)
		return DOMAIN_ABSENT;
	if (d->remote_ms < 0 || d->home_ms <= good_ms)
		return DOMAIN_STAY;
	remote_ms = d->remote_ms + domain_price_ms(d);
	return remote_ms < d->home_ms ? DOMAIN_LEAVE : DOMAIN_STAY;
}
