#include "endpoint/endpoint.h"

#include "endpoint/multi.h"
#include "endpoint/report.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

enum {
	RESPONSE_MAX = 1 << 20 /* bytes */
};

struct orders {
	ms_t timeout;
	CURLSH *share; /* idle connections, for load reports */
	/* Connection for orders, to one engine process; NULL: none. */
	CURL *conn;
	char addr[ADDR_MAX];
	char incarnation[ID_MAX];
};

static void
disconnect(orders_t *o)
{
	if (o->conn != NULL)
		curl_easy_cleanup(o->conn);
	o->conn = NULL;
}

orders_t *
orders_new(ms_t timeout, err_t *e)
{
	orders_t *o = g_new0(orders_t, 1);

	o->timeout = timeout;
	o->share = curl_share_init();
	if (o->share == NULL) {
		err_set(e, ERR_INTERNAL, "can't make a share handle");
		g_free(o);
		return NULL;
	}
	curl_share_setopt(o->share, CURLSHOPT_SHARE, CURL_LOCK_DATA_CONNECT);
	return o;
}

void
orders_free(orders_t *o)
{
	if (o == NULL)
		return;
	disconnect(o);
	curl_share_cleanup(o->share);
	g_free(o);
}

static size_t
on_data(char *p, size_t size, size_t n, void *user)
{
	GString *s = user;

	if (s->len + size * n > RESPONSE_MAX)
		return 0;
	g_string_append_len(s, p, size * n);
	return size * n;
}

/* @return the HTTP status, or -1: DOWN (nothing was sent) or UNKNOWN */
static int
perform(orders_t *o, CURL *c, const char *addr, GString *body, err_t *e)
{
	CURLcode rc;
	long status = 0;
	bool sent;

	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)o->timeout);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, body);
	rc = curl_easy_perform(c);
	sent = easy_sent(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	if (rc == CURLE_OK)
		return (int)status;
	return err_set(e, sent ? ERR_UNKNOWN : ERR_DOWN, "%s: %s", addr,
	    curl_easy_strerror(rc));
}

static char *
order_json(const order_t *o)
{
	static const char *const op[] = { "load", "unload", "role" };
	json_t *j = json_pack("{s:I,s:I,s:s,s:s,s:s,s:I,s:I,s:s}", "number",
	    (json_int_t)o->number, "fence", (json_int_t)o->fencing_token, "op",
	    op[o->kind], "model", o->model, "adapter", o->adapter, "version",
	    (json_int_t)o->version, "memory_mb", (json_int_t)o->memory_mb,
	    "role", o->role);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text;
}

/* @return true if the engine says that it didn't execute the order */
static bool
says_not_run(const GString *body)
{
	json_t *j = json_loadb(body->str, body->len, 0, NULL);
	const char *ran = json_string_value(json_object_get(j, "ran"));
	bool no = ran != NULL && strcmp(ran, "no") == 0;

	json_decref(j);
	return no;
}

static int
status_result(int status, const GString *body, const char *addr, err_t *e)
{
	switch (status) {
	case -1:
		return -1;
	case 200:
	case 202:
		return 0;
	case 409:
		return err_set(e, ERR_CONFLICT,
		    "%s: stale fencing token or order number", addr);
	case 507:
		return err_set(
		    e, ERR_FULL, "%s: not enough memory for the load", addr);
	default:
		return err_set(e, says_not_run(body) ? ERR_DOWN : ERR_UNKNOWN,
		    "%s: status %d", addr, status);
	}
}

static curl_socket_t
refuse_socket(void *user, curlsocktype purpose, struct curl_sockaddr *to)
{
	(void)user;
	(void)purpose;
	(void)to;
	return CURL_SOCKET_BAD;
}

int
orders_connect(orders_t *o, const char *addr, const char *incarnation, err_t *e)
{
	CURL *c = easy_new(addr, "/v1/load");
	GString *body = g_string_new(NULL);
	load_report_t r = { 0 };
	int rc = -1;

	disconnect(o);
	if (c != NULL && perform(o, c, addr, body, e) == 200)
		rc = load_report_parse(&r, body->str, body->len, e);
	if (rc == 0 && strcmp(r.incarnation, incarnation) != 0)
		rc = -1;
	g_string_free(body, TRUE);
	free(r.resident);
	if (rc == -1) {
		if (c != NULL)
			curl_easy_cleanup(c);
		return err_set(e, ERR_DOWN,
		    "%s isn't process %s or gave no load report", addr,
		    incarnation);
	}
	/* The handle can't reconnect, so it can't reach another process. */
	curl_easy_setopt(c, CURLOPT_OPENSOCKETFUNCTION, refuse_socket);
	o->conn = c;
	str_set(o->addr, sizeof(o->addr), addr);
	str_set(o->incarnation, sizeof(o->incarnation), incarnation);
	return 0;
}

static bool
is_connected(const orders_t *o, const char *addr, const order_t *order)
{
	return o->conn != NULL && strcmp(o->addr, addr) == 0 &&
	       strcmp(o->incarnation, order->incarnation) == 0;
}

static int
send_order(orders_t *o, CURL *c, const char *addr, const char *text, err_t *e)
{
	struct curl_slist *head;
	GString *body = g_string_new(NULL);
	char *url = g_strdup_printf("http://%s/v1/orders", addr);
	int rc;

	head = curl_slist_append(NULL, "Content-Type: application/json");
	head = curl_slist_append(head, "Expect:");
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, head);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, text);
	rc = status_result(perform(o, c, addr, body, e), body, addr, e);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, NULL);
	curl_slist_free_all(head);
	g_string_free(body, TRUE);
	g_free(url);
	return rc;
}

int
orders_send(orders_t *o, const char *addr, const order_t *order, err_t *e)
{
	char *text = order_json(order);
	int rc;

	if (text == NULL)
		return err_set(e, ERR_DOWN, "%s: order can't be encoded", addr);
	rc = is_connected(o, addr, order)
		 ? 0
		 : orders_connect(o, addr, order->incarnation, e);
	if (rc == 0)
		rc = send_order(o, o->conn, addr, text, e);
	/* After an error the state of the connection is unknown. */
	if (rc == -1)
		disconnect(o);
	free(text);
	return rc;
}

int
orders_read_load(orders_t *o, const char *addr, load_report_t *out, err_t *e)
{
	GString *body = g_string_new(NULL);
	CURL *c = easy_new(addr, "/v1/load");
	int status, rc = -1;

	memset(out, 0, sizeof(*out));
	if (c == NULL) {
		g_string_free(body, TRUE);
		return err_set(e, ERR_INTERNAL, "can't make a transfer");
	}
	out->taken_at = clock_now(&machine_clock);
	curl_easy_setopt(c, CURLOPT_SHARE, o->share);
	status = perform(o, c, addr, body, e);
	if (status == 200)
		rc = load_report_parse(out, body->str, body->len, e);
	else if (status != -1)
		err_set(e, ERR_PROTO, "%s: status %d", addr, status);
	out->reached = rc == 0;
	curl_easy_cleanup(c);
	g_string_free(body, TRUE);
	return rc;
}
