/*
 * address.c - addresses of the form "IP:PORT".
 */
#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

#include "config/address.h"

#define PORT_MAX 65535

bool
ms_address_parse(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    guint64 port = 0;
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip) ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL)) {
        return false;
    }
    g_strlcpy(ip, text, (gsize)(colon - text) + 1);
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}
