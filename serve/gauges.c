#include "serve/blame.h"
#include "serve/reach.h"

#include <string.h>

static void
set_gauge(const char *name, const char *help, int64_t v)
{
	counter_set(counter_get(name, help), v);
}

void
update_gauges(serve_t *s)
{
	double error = 0;
	int i, usable = 0, open = 0, limited = 0, n = 0;

	for (i = 0; i < s->endpoints.nep; i++) {
		const ep_t *p = s->endpoints.ep[i];

		usable += ep_usable(p);
		open += !breaker_allows(&p->breaker, s->loop.now);
		limited += ep_usable(p) && p->limit.active;
		if (p->workload.prediction_error > 0) {
			error += p->workload.prediction_error;
			n++;
		}
	}
	set_gauge("ebonypitch_ready", "1 if callers may come.",
	    s->ready && !s->leaving);
	set_gauge("ebonypitch_config_version", "Configuration in force.",
	    s->config != NULL ? s->config->version : 0);
	set_gauge("ebonypitch_config_age_ms", "Since it came into force.",
	    s->config != NULL ? s->loop.now - s->config_read_at : -1);
	set_gauge("ebonypitch_store_age_ms", "Since the store last answered.",
	    s->loop.now - s->endpoints_watch.answered_at);
	set_gauge(
	    "ebonypitch_endpoints", "Endpoints that may be used.", usable);
	set_gauge(
	    "ebonypitch_endpoints_open", "Endpoints left for failures.", open);
	set_gauge("ebonypitch_endpoints_limited",
	    "Endpoints that name a limit of calls.", limited);
	set_gauge(
	    "ebonypitch_calls", "Calls in progress.", table_count(s->calls));
	set_gauge("ebonypitch_guests", "Callers' connections.", s->ncaller);
	set_gauge(
	    "ebonypitch_instances", "Instances that live.", peers_alive(s));
	set_gauge("ebonypitch_endpoints_unreached",
	    "Endpoints that it can't connect to.", reach_unreached(s));
	set_gauge("ebonypitch_holder", "1 if it orders endpoints.",
	    plan_is_holder(s));
	set_gauge("ebonypitch_prompt_parts_blamed",
	    "Prompt parts that crash endpoints.",
	    blame_count(&s->blame->blame, SUSPECT_PART));
	set_gauge("ebonypitch_crashes_remembered",
	    "Crashes of endpoints that are evidence.", s->blame->blame.ncrash);
	set_gauge("ebonypitch_requests_blamed",
	    "Requests that crash endpoints.",
	    blame_count(&s->blame->blame, SUSPECT_REQUEST));
	set_gauge("ebonypitch_request_bytes", "Bytes held for requests.",
	    (int64_t)(s->buffers.small + s->buffers.large));
	set_gauge("ebonypitch_request_bytes_max", "Bound of these.",
	    (int64_t)s->buffers.bound);
	set_gauge("ebonypitch_log_dropped", "Log lines that weren't taken.",
	    log_dropped());
	set_gauge("ebonypitch_first_error_percent",
	    "Mean error of the predicted first event.",
	    n > 0 ? (int64_t)(100 * error / n) : 0);
}

void
histogram_text(buf_t *out, const char *name, const char *help, const histo_t *h)
{
	static const double at[] = { 0.5, 0.9, 0.99 };
	size_t i;

	buf_fmt(out, "# HELP %s %s\n# TYPE %s summary\n", name, help, name);
	for (i = 0; i < sizeof(at) / sizeof(at[0]); i++)
		buf_fmt(out, "%s{quantile=\"%g\"} %" PRId64 "\n", name, at[i],
		    histo_quantile(h, at[i]));
	buf_fmt(out, "%s_count %" PRIu64 "\n", name, h->n);
}
