/* The platform's care of the daemons: settings, starts, ends, memory limit. */
#define _GNU_SOURCE
#include "review/stage/stage.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	RESTART_MS = 300, /* after a process has ended */
	READY_MS = 15000,
};

daemon_t daemon_at[DAEMONS_MAX];
int ndaemon, memory_mb = 260;

static void
write_settings(const daemon_t *d, bool bootstrap)
{
	GString *t = g_string_new(NULL);

	g_string_append_printf(t,
	    "node_name: \"%s\"\nrole: \"entry\"\nmachine_class: \"front\"\n"
	    "serves:\n  - \"front\"\n  - \"directory\"\n"
	    "ip: \"%s\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\n"
	    "listen:\n  front: \"%s:8149\"\n  ready: \"%s:8141\"\n"
	    "  directory: \"%s:8143\"\ninternal_ports:\n  - 7380\n  - 7395\n"
	    "seeds: []\nbootstrap: %s\ncount_in_tolerance: false\n",
	    d->name, d->ip, d->ip, d->ip, d->ip, bootstrap ? "true" : "false");
	g_string_append_printf(t,
	    "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: %d\n"
	    "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
	    "data_dir: null\ndiscovery: \"platform\"\nentry: \"directory\"\n"
	    "heartbeat_ms: %d\n",
	    memory_mb, BEAT_MS);
	g_string_append_printf(t,
	    "bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n"
	    "  stability_window_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n"
	    "  drain_ms: %d\n  grace_s: 8\n  loss_slack_ms: 200\n"
	    "  config_apply_ms: 2000\n  rollback_slack_ms: 250\n"
	    "  max_stretch_ms: 5000\n  budget_ratio: 0.2\n"
	    "  budget_window_s: 10\n  budget_extra_tries: 54\n"
	    "  recover_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n"
	    "  require_fencing: false\n  lease_ms: %d\n"
	    "  thaw_slack_ms: 300\n  ceiling_window_s: 5\n"
	    "  ceiling_over: 1.1\n  ttl_max_s: 5\n",
	    DRAIN_MS, LEASE_MS);
	g_string_append_printf(t,
	    "platform:\n  address: \"%s\"\n  form: \"objects\"\n"
	    "  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
	    "  value_bytes: 1048576\n  ttl_min_ms: 1000\n",
	    address(200, 8142));
	if (!g_file_set_contents(d->settings, t->str, -1, NULL))
		cannot("settings can't be written");
	g_string_free(t, TRUE);
}

void
daemons_prepare(int n)
{
	int i;

	for (i = 0; i < n; i++) {
		daemon_t *d = &daemon_at[i];

		g_snprintf(d->name, sizeof(d->name), "front-z1-%d", i + 1);
		str_copy(d->ip, sizeof(d->ip), address(i + 1, 0));
		*strchr(d->ip, ':') = '\0';
		g_snprintf(d->settings, sizeof(d->settings), "%s/%s.yaml",
		    directory(), d->name);
		write_settings(d, true);
	}
	ndaemon = n;
}

/* The command of deploy/system.toml. */
void
daemon_launch(int i)
{
	daemon_t *d = &daemon_at[i];
	char log[300], env[300];
	int fd;

	g_snprintf(log, sizeof(log), "%s/%s.log", directory(), d->name);
	g_snprintf(env, sizeof(env), "EBONYPITCH_SETTINGS=%s", d->settings);
	d->restart_at = 0;
	d->stopping = false;
	d->pid = fork();
	if (d->pid == 0) {
		char *argv[] = { "target/bin/ebonypitchd", NULL };
		char *envp[] = { env, "PATH=/usr/bin:/bin", "HOME=/tmp", NULL };

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, 1);
		dup2(fd, 2);
		execve(argv[0], argv, envp);
		_exit(127);
	}
	note("platform: %s starts", d->name);
}

static int
resident_mb(pid_t pid)
{
	char path[64], *text = NULL, *p;
	int kb = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	if (g_file_get_contents(path, &text, NULL, NULL) &&
	    (p = strstr(text, "VmRSS:")) != NULL)
		kb = atoi(p + 6);
	g_free(text);
	return kb / 1024;
}

static void
check_memory(daemon_t *d)
{
	int mb = resident_mb(d->pid);

	if (mb * 1024 > d->high_kb)
		d->high_kb = mb * 1024;
	if (mb <= memory_mb)
		return;
	note("platform: %s uses %d MB of %d: killed", d->name, mb, memory_mb);
	kill(d->pid, SIGKILL);
}

void
daemons_tick(void)
{
	int i, status;

	for (i = 0; i < ndaemon; i++) {
		daemon_t *d = &daemon_at[i];

		if (d->pid != 0 &&
		    waitpid(d->pid, &status, WNOHANG) == d->pid) {
			note("platform: %s has ended, %s %d", d->name,
			    WIFSIGNALED(status) ? "signal" : "status",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
			d->ends += !d->stopping;
			d->pid = 0;
			d->restart_at = loop.now + RESTART_MS;
		}
		if (d->pid != 0)
			check_memory(d);
		if (d->pid == 0 && d->restart_at != 0 &&
		    loop.now >= d->restart_at) {
			write_settings(d, false);
			daemon_launch(i);
		}
	}
}

void
daemons_kill(void)
{
	int i;

	for (i = 0; i < ndaemon; i++)
		if (daemon_at[i].pid > 0) {
			kill(daemon_at[i].pid, SIGKILL);
			waitpid(daemon_at[i].pid, NULL, 0);
		}
	ndaemon = 0;
}

bool
daemon_ready(int i)
{
	char addr[64], text[200];
	client_request_t *p;
	ms_t until = loop.now + 500;
	bool ok;

	g_snprintf(addr, sizeof(addr), "%s:8141", daemon_at[i].ip);
	g_snprintf(text, sizeof(text),
	    "GET /v1/ready HTTP/1.1\r\nHost: %s\r\n\r\n", addr);
	p = client_request_open(&loop, addr, text, NULL, NULL);
	if (p == NULL)
		return false;
	while (!p->done && !p->closed && loop.now < until)
		pump(5);
	ok = p->done && p->status == 200;
	client_request_free(p);
	return ok;
}

void
daemons_wait_ready(void)
{
	ms_t until = loop.now + READY_MS;
	int i;

	for (i = 0; i < ndaemon; i++)
		while (!daemon_ready(i)) {
			if (loop.now > until)
				cannot("a daemon isn't ready in time");
			pump(100);
		}
	note("platform: all daemons are ready");
}
