/*
 * toml_json.cc - conversion of TOML text to JSON text.
 *
 * The only C++ file of the project, because it uses the C++ library toml++.
 */
#include <cstdio>
#include <cstring>
#include <sstream>

#include <toml++/toml.h>

#include "toml_json.h"

extern "C" char *
ms_toml_to_json(const char *text, char *error, size_t size)
{
    try {
        std::ostringstream out;
        out << toml::json_formatter{toml::parse(text)};
        return strdup(out.str().c_str());
    } catch (const toml::parse_error &failure) {
        const auto &position = failure.source().begin;
        std::snprintf(error, size, "line %u, column %u: %s", (unsigned)position.line,
                      (unsigned)position.column, failure.what());
    } catch (const std::exception &failure) {
        std::snprintf(error, size, "%s", failure.what());
    }
    return nullptr;
}
