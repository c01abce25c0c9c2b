/**
 * @file report.h
 * The JSON of load reports.
 */
#ifndef REPORT_H
#define REPORT_H

#include "endpoint/endpoint.h"

/** Fill in what the text says; worker stays if it names none. */
int load_report_parse(load_report_t *r, const char *text, size_t len, err_t *e);

#endif
