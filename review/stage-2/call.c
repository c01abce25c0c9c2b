/*
 * call ADDR METHOD TARGET BODY
 * Sends one request. The exit status is 0 if it was answered with success.
 */
#include "stage.h"

int
main(int argc, char **argv)
{
	int status;

	if (argc != 5)
		stage_die("usage: call ADDR METHOD TARGET BODY");
	status = stage_call(argv[1], argv[2], argv[3], argv[4]);
	return status >= 200 && status <= 299 ? 0 : 1;
}
