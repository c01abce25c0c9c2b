/*
 * stream-client ADDR ID MODEL
 * A client that asks for one summary and prints the answer: its status, whether
 * it is complete, and the number of events.
 */
#include "stage.h"

#include <stdio.h>
#include <string.h>

int
main(int argc, char **argv)
{
	static stage_msg_t m;
	const char *p;
	bool whole;
	int fd, events = 0;

	if (argc != 4)
		stage_die("usage: stream-client ADDR ID MODEL");
	fd = stage_connect(argv[1]);
	if (fd == -1 ||
	    !stage_printf(fd,
		"POST /run/%s HTTP/1.1\r\nHost: records.example\r\n"
		"Request-Id: %s\r\nModel: %s\r\nToken-Usage: 600,22\r\n"
		"Prompt-Prefix: aa:500,%x:100\r\n"
		"Deadline-Remaining: 6000\r\nContent-Length: 6\r\n\r\nprompt",
		argv[2], argv[2], argv[3], (unsigned)stage_now()))
		stage_die("can't send");
	if (!stage_read_head(fd, &m)) {
		printf("status=0 complete=0 events=0\n");
		return 0;
	}
	whole = stage_read_body(fd, &m);
	for (p = m.body; p != NULL && (p = strstr(p, "id: ")) != NULL; p++)
		events++;
	printf("status=%d complete=%d events=%d\n", stage_status(&m), whole,
	    events);
	return 0;
}
