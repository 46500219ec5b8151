/*
 * address.h - addresses of the form "IP:PORT".
 */
#ifndef MS_CONFIG_ADDRESS_H
#define MS_CONFIG_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/*
 * Parses TEXT, an IPv4 address and a port from 1 to 65535 in decimal.  Returns false, with
 * *ADDRESS undefined, for anything else, host names included.
 */
bool ms_address_parse(const char *text, struct sockaddr_in *address);

#endif
