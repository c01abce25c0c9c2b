/**
 * @file report.h
 * Parser of load reports.
 */
#ifndef REPORT_H
#define REPORT_H

#include "endpoint/endpoint.h"

/**
 * Parse a load report.
 * @return 0, or -1: PROTO, INTERNAL (out of memory)
 */
int load_report_parse(load_report_t *r, const char *text, size_t len, err_t *e);

#endif
