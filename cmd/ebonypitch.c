#include "base/base.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/*
 * The operators' tool, a client of the operators' addresses of controld and
 * ebonypitchd.
 */

enum {
	EXIT_GOOD = 0,
	EXIT_REFUSED = 1, /* refused because of the input or the state */
	EXIT_USAGE = 2,
	EXIT_NO_ANSWER = 3, /* outcome unknown; the command can be run again */
	REQUEST_TIMEOUT_MS = 30000,
	STATUS_TRY_NEXT = 503,
};

typedef struct options {
	char **addr;
	char *user;
	gboolean json;
	char *from, *to, *subject, *model, *kind;
	char **arguments;
	char **fields; /* "Name: value" of the request, NULL: none */
} options_t;

typedef struct answer {
	int status; /* 0: no answer */
	GString *body;
} answer_t;

static options_t opt;

static const char summary[] =
    "Verbs:\n"
    "  note check FILE         check whether the note would be accepted\n"
    "  note apply FILE         apply the note; can safely be repeated\n"
    "  note status N           progress of note N\n"
    "  note list               all accepted notes\n"
    "  note show N             the text of note N\n"
    "  status                  members, workers, shards, catalogue, lease\n"
    "  audit                   who changed what (--from, --to, --subject ...)\n"
    "  explain HOST/PATH [FIELD: VALUE]...\n"
    "                          where an ebonypitchd would send a request now\n"
    "  settings check FILE...  read settings files as a daemon would\n"
    "\n"
    "Exit status: 0 done, 1 refused, 2 usage, 3 outcome unknown (run the\n"
    "same command again).";

static size_t
append_body(char *p, size_t size, size_t n, void *user)
{
	g_string_append_len(user, p, (gssize)(size * n));
	return size * n;
}

static answer_t
send_request(const char *addr, const char *method, const char *path,
    const char *body, size_t len)
{
	answer_t answer = { 0, g_string_new(NULL) };
	CURL *c = curl_easy_init();
	struct curl_slist *head = curl_slist_append(NULL, "Expect:");
	char *url = g_strdup_printf("http://%s%s", addr, path);
	char *user = g_strdup_printf("X-User: %s", opt.user);
	long status = 0;
	char **field;

	for (field = opt.fields; field != NULL && *field != NULL; field++)
		head = curl_slist_append(head, *field);
	head = curl_slist_append(head, user);
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, head);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, answer.body);
	if (body != NULL) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)len);
	}
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	answer.status = (int)status;
	curl_easy_cleanup(c);
	curl_slist_free_all(head);
	g_free(url);
	g_free(user);
	return answer;
}

/* All requests are idempotent, so the next address can always be tried. */
static answer_t
send_to_any(const char *method, const char *path, const char *body, size_t len)
{
	answer_t answer = { 0, g_string_new(NULL) };
	int i;

	for (i = 0; opt.addr[i] != NULL; i++) {
		g_string_free(answer.body, TRUE);
		answer = send_request(opt.addr[i], method, path, body, len);
		if (answer.status != 0 && answer.status != STATUS_TRY_NEXT)
			return answer;
		if (answer.status == 0)
			fprintf(stderr, "ebonypitch: no answer from %s\n",
			    opt.addr[i]);
	}
	return answer;
}

static int
print_failure(const answer_t *answer)
{
	json_error_t je;
	json_t *j = json_loadb(answer->body->str, answer->body->len, 0, &je);
	json_t *e = json_object_get(j, "error");
	const char *text = json_string_value(json_object_get(e, "message"));
	const char *report = json_string_value(json_object_get(e, "report"));

	if (answer->status != 0)
		fprintf(stderr, "ebonypitch: %s\n",
		    text != NULL ? text : "invalid answer");
	if (report != NULL)
		fputs(report, stderr);
	json_decref(j);
	return answer->status >= 400 && answer->status < 500 ? EXIT_REFUSED
							     : EXIT_NO_ANSWER;
}

/* Prints an answer as text. */
typedef void show_t(json_t *j);

static int
request(const char *method, const char *path, const char *body, size_t len,
    show_t *show)
{
	answer_t answer = send_to_any(method, path, body, len);
	json_error_t je;
	json_t *j = NULL;
	int rc = EXIT_GOOD;

	if (answer.status != 200) {
		rc = print_failure(&answer);
	} else if (opt.json || show == NULL) {
		fwrite(answer.body->str, 1, answer.body->len, stdout);
		if (answer.body->len > 0 &&
		    answer.body->str[answer.body->len - 1] != '\n')
			putchar('\n');
	} else if ((j = json_loadb(
			answer.body->str, answer.body->len, 0, &je)) != NULL) {
		show(j);
	} else {
		fprintf(stderr, "ebonypitch: %s\n", je.text);
		rc = EXIT_NO_ANSWER;
	}
	json_decref(j);
	g_string_free(answer.body, TRUE);
	return rc;
}

static const char *
string_field(json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s == NULL ? "" : s;
}

static long long
number_field(json_t *j, const char *key)
{
	return json_integer_value(json_object_get(j, key));
}

static const char *
time_field(json_t *j, const char *key, char *buf, size_t size)
{
	GDateTime *t =
	    g_date_time_new_from_unix_utc(number_field(j, key) / 1000);
	char *s = g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ");

	str_set(buf, size, s);
	g_free(s);
	g_date_time_unref(t);
	return buf;
}

static void
show_accepted(json_t *j)
{
	printf("accepted as note %lld\n", number_field(j, "number"));
}

static void
show_acceptable(json_t *j)
{
	(void)j;
	printf("would be accepted\n");
}

static void
show_note_status(json_t *j)
{
	const char *state = string_field(j, "state");

	printf("note %lld '%s': ", number_field(j, "number"),
	    string_field(j, "id"));
	if (strcmp(state, "loading") == 0)
		printf("loading %lld/%lld\n", number_field(j, "ready"),
		    number_field(j, "wanted"));
	else if (strcmp(state, "spreading") == 0)
		printf("in force on %lld/%lld instances\n",
		    number_field(j, "on"), number_field(j, "of"));
	else
		printf("%s\n", state);
}

static void
show_notes(json_t *j)
{
	json_t *n;
	char when[32];
	size_t i;

	json_array_foreach(json_object_get(j, "notes"), i, n)
	{
		printf("%lld\t%s\t%s\t%s\n", number_field(n, "number"),
		    string_field(n, "id"), string_field(n, "who"),
		    time_field(n, "at", when, sizeof(when)));
	}
}

static void
show_status(json_t *j)
{
	json_t *lease = json_object_get(j, "lease"), *m;
	size_t i;

	printf("catalogue\t%lld\t%s\n", number_field(j, "catalogue"),
	    string_field(j, "note"));
	printf("planner\t%s%s\tfence %lld\n", string_field(lease, "holder"),
	    string_field(lease, "error"), number_field(lease, "fence"));
	json_array_foreach(json_object_get(j, "members"), i, m)
	{
		printf("member\t%s\t%s\t%s\tnote %lld\tcalls %lld\n",
		    string_field(m, "id"), string_field(m, "domain"),
		    json_is_true(json_object_get(m, "leaving")) ? "leaving"
								: "live",
		    number_field(m, "in_force"), number_field(m, "calls"));
	}
	json_array_foreach(json_object_get(j, "workers"), i, m)
	{
		printf("worker\t%s\t%s\t%s\t%s\tused %lld of %lld MB\treserved "
		       "%lld\tdoubtful %lld\tresident %zu\n",
		    string_field(m, "id"), string_field(m, "service"),
		    string_field(m, "domain"),
		    json_is_true(json_object_get(m, "leaving")) ? "leaving"
								: "live",
		    number_field(m, "used_mb"), number_field(m, "memory_mb"),
		    number_field(m, "reserved_mb"),
		    number_field(m, "doubtful_mb"),
		    json_array_size(json_object_get(m, "resident")));
	}
	json_array_foreach(json_object_get(j, "shards"), i, m)
	{
		printf("shard\t%s/%s/%lld\tbroker %s\tworkers %lld\twaiting "
		       "%lld\twait %lld ms\n",
		    string_field(m, "service"), string_field(m, "domain"),
		    number_field(m, "index"), string_field(m, "broker"),
		    number_field(m, "workers"), number_field(m, "waiting"),
		    number_field(m, "wait_ms"));
	}
}

static void
show_audit(json_t *j)
{
	char when[32];
	json_t *r;
	size_t i;

	json_array_foreach(j, i, r)
	{
		printf("%s\t%s\t%s\t%s\t%lld\t%s\t%s\t%s\n",
		    time_field(r, "at", when, sizeof(when)),
		    string_field(r, "who"), string_field(r, "kind"),
		    string_field(r, "subject"), number_field(r, "number"),
		    string_field(r, "model"), string_field(r, "what"),
		    string_field(r, "result"));
	}
}

static void
show_endpoint(json_t *j)
{
	printf("%c %s\t%s\t%s",
	    json_is_true(json_object_get(j, "chosen")) ? '*' : ' ',
	    string_field(j, "endpoint"), string_field(j, "domain"),
	    string_field(j, "verdict"));
	if (json_object_get(j, "first_ms") != NULL)
		printf("\tfirst event %.0f ms",
		    json_number_value(json_object_get(j, "first_ms")));
	if (json_object_get(j, "wait_ms") != NULL)
		printf("\twait %.0f ms",
		    json_number_value(json_object_get(j, "wait_ms")));
	if (json_object_get(j, "cost_ms") != NULL)
		printf("\tcost %.0f ms",
		    json_number_value(json_object_get(j, "cost_ms")));
	printf("\t%lld/%lld running, load %lld ms old, entry %lld ms old\n",
	    number_field(j, "running"), number_field(j, "slots"),
	    number_field(j, "load_age_ms"), number_field(j, "entry_age_ms"));
}

static void
show_explanation(json_t *j)
{
	json_t *domains = json_object_get(j, "domains"), *p;
	size_t i;

	printf("%s\n", string_field(j, "action"));
	if (json_object_get(j, "why") != NULL)
		printf("%s\n", string_field(j, "why"));
	if (json_object_get(j, "status") != NULL) {
		printf("status %lld\n", number_field(j, "status"));
		return;
	}
	printf("route %s, service %s, configuration %lld, %.0f ms left\n",
	    string_field(j, "route"), string_field(j, "service"),
	    number_field(j, "config"),
	    json_number_value(json_object_get(j, "left_ms")));
	if (domains != NULL)
		printf("failure domain: %s (home %.0f ms, elsewhere %.0f ms, "
		       "price %.0f ms)\n",
		    string_field(domains, "decision"),
		    json_number_value(json_object_get(domains, "home_ms")),
		    json_number_value(json_object_get(domains, "remote_ms")),
		    json_number_value(json_object_get(domains, "price_ms")));
	json_array_foreach(json_object_get(j, "endpoints"), i, p)
	{
		show_endpoint(p);
	}
}

static int
usage(const char *why)
{
	fprintf(stderr, "ebonypitch: %s; see ebonypitch --help\n", why);
	return EXIT_USAGE;
}

static int
send_file(const char *path, const char *file, show_t *show)
{
	GError *e = NULL;
	char *text;
	gsize len;
	int rc;

	if (!g_file_get_contents(file, &text, &len, &e)) {
		fprintf(stderr, "ebonypitch: %s\n", e->message);
		g_error_free(e);
		return EXIT_USAGE;
	}
	rc = request("POST", path, text, len, show);
	g_free(text);
	return rc;
}

static int
get_note(const char *arg, const char *suffix, show_t *show)
{
	char *end, *path;
	guint64 n = g_ascii_strtoull(arg, &end, 10);
	int rc;

	if (*end != '\0' || n == 0)
		return usage("not a note number");
	path = g_strdup_printf("/v1/notes/%" G_GUINT64_FORMAT "%s", n, suffix);
	rc = request("GET", path, NULL, 0, show);
	g_free(path);
	return rc;
}

static int
note_verb(char **w, int n)
{
	if (n == 1 && strcmp(w[0], "list") == 0)
		return request("GET", "/v1/notes", NULL, 0, show_notes);
	if (n != 2)
		return usage("note check|apply FILE, status|show N, or list");
	if (strcmp(w[0], "check") == 0)
		return send_file("/v1/notes/check", w[1], show_acceptable);
	if (strcmp(w[0], "apply") == 0)
		return send_file("/v1/notes", w[1], show_accepted);
	if (strcmp(w[0], "status") == 0)
		return get_note(w[1], "/status", show_note_status);
	if (strcmp(w[0], "show") == 0)
		return get_note(w[1], "", NULL);
	return usage("unknown verb of note");
}

static void
add_query(GString *path, const char *key, const char *value)
{
	char *v;

	if (value == NULL)
		return;
	v = g_uri_escape_string(value, NULL, FALSE);
	g_string_append_printf(path, "%c%s=%s",
	    strchr(path->str, '?') == NULL ? '?' : '&', key, v);
	g_free(v);
}

/* A time is given in ms since 1970 or in ISO 8601. */
static void
add_time(GString *path, const char *key, const char *value)
{
	GTimeZone *utc = g_time_zone_new_utc();
	GDateTime *t =
	    value == NULL ? NULL : g_date_time_new_from_iso8601(value, utc);
	char ms[32];

	if (t != NULL) {
		snprintf(
		    ms, sizeof(ms), "%" PRId64, g_date_time_to_unix(t) * 1000);
		g_date_time_unref(t);
		value = ms;
	}
	add_query(path, key, value);
	g_time_zone_unref(utc);
}

static int
audit_verb(void)
{
	GString *path = g_string_new("/v1/audit");
	int rc;

	add_time(path, "from", opt.from);
	add_time(path, "to", opt.to);
	add_query(path, "subject", opt.subject);
	add_query(path, "model", opt.model);
	add_query(path, "kind", opt.kind);
	rc = request("GET", path->str, NULL, 0, show_audit);
	g_string_free(path, TRUE);
	return rc;
}

static int
settings_verb(char **files)
{
	settings_t s;
	char *report;
	err_t e;
	int bad = 0;

	settings_init(&s);
	for (; *files != NULL; files++) {
		bad |= settings_read(&s, *files, &report, &e) == -1;
		if (report != NULL)
			fputs(report, stderr);
		free(report);
	}
	if (!bad) {
		bad = settings_check(&s, &report, &e) == -1;
		if (report != NULL)
			fputs(report, stderr);
		free(report);
	}
	if (!bad)
		settings_print(&s, stdout);
	return bad ? EXIT_REFUSED : EXIT_GOOD;
}

static int
explain_verb(char **w)
{
	const char *path = strchr(w[0], '/');
	char *target, *host;
	GPtrArray *fields;
	int rc;

	if (path == NULL)
		return usage("explain HOST/PATH [FIELD: VALUE]...");
	host = g_strdup_printf("Host: %.*s", (int)(path - w[0]), w[0]);
	target = g_strdup_printf("/explain%s", path);
	fields = g_ptr_array_new();
	g_ptr_array_add(fields, host);
	while (*++w != NULL)
		g_ptr_array_add(fields, *w);
	g_ptr_array_add(fields, NULL);
	opt.fields = (char **)fields->pdata;
	rc = request("GET", target, NULL, 0, show_explanation);
	opt.fields = NULL;
	g_ptr_array_free(fields, TRUE);
	g_free(host);
	g_free(target);
	return rc;
}

static int
run(void)
{
	char **w = opt.arguments;
	int n = w == NULL ? 0 : (int)g_strv_length(w);

	if (n == 0)
		return usage("missing verb");
	if (strcmp(w[0], "settings") == 0) {
		if (n < 3 || strcmp(w[1], "check") != 0)
			return usage("settings check FILE...");
		return settings_verb(w + 2);
	}
	if (opt.addr == NULL)
		return usage("missing --addr IP:PORT of a daemon");
	if (strcmp(w[0], "explain") == 0 && n >= 2)
		return explain_verb(w + 1);
	if (strcmp(w[0], "note") == 0)
		return note_verb(w + 1, n - 1);
	if (strcmp(w[0], "status") == 0 && n == 1)
		return request("GET", "/v1/status", NULL, 0, show_status);
	if (strcmp(w[0], "audit") == 0 && n == 1)
		return audit_verb();
	return usage("unknown verb");
}

int
main(int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "addr", 'a', 0, G_OPTION_ARG_STRING_ARRAY, &opt.addr,
		    "a daemon's operators' address; may be repeated",
		    "IP:PORT" },
		{ "user", 'u', 0, G_OPTION_ARG_STRING, &opt.user,
		    "user name for the audit trail", "NAME" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &opt.json,
		    "print the answer as JSON", NULL },
		{ "from", 0, 0, G_OPTION_ARG_STRING, &opt.from,
		    "audit: not before", "TIME" },
		{ "to", 0, 0, G_OPTION_ARG_STRING, &opt.to, "audit: not after",
		    "TIME" },
		{ "subject", 0, 0, G_OPTION_ARG_STRING, &opt.subject,
		    "audit: about this", "NAME" },
		{ "model", 0, 0, G_OPTION_ARG_STRING, &opt.model,
		    "audit: of this model or adapter", "NAME" },
		{ "kind", 0, 0, G_OPTION_ARG_STRING, &opt.kind,
		    "audit: note, order, lease, claim or membership", "KIND" },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
		    &opt.arguments, NULL, "VERB ..." },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *c = g_option_context_new(NULL);
	GError *e = NULL;
	int rc;

	g_option_context_set_description(c, summary);
	g_option_context_add_main_entries(c, entries, NULL);
	if (!g_option_context_parse(c, &argc, &argv, &e)) {
		fprintf(stderr, "ebonypitch: %s\n", e->message);
		return EXIT_USAGE;
	}
	g_option_context_free(c);
	if (opt.user == NULL)
		opt.user = g_strdup(g_get_user_name());
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run();
	curl_global_cleanup();
	return rc;
}
