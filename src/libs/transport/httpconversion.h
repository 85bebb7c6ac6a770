#pragma once

#include "transport/message.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Pistachio::Transport::Internal
{

namespace Http = boost::beast::http;

inline std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// \return the fields as plain strings.
inline Headers toHeaders(const Http::fields &fields)
{
    Headers headers;
    for (const auto &field : fields)
        headers.push_back({std::string(toView(field.name_string())), std::string(toView(field.value()))});
    return headers;
}

/// Adds \p headers without those that frame the body, which the transport sets itself.
inline void addHeaders(Http::fields &fields, const Headers &headers)
{
    for (const auto &header : headers) {
        const auto name = Http::string_to_field(header.name);
        if (name != Http::field::content_length && name != Http::field::transfer_encoding
            && name != Http::field::connection)
            fields.insert(header.name, header.value);
    }
}

/// \return whether a response of \p status has no body by definition.
inline bool isBodyless(int status)
{
    return status == 204 || status == 304 || (status >= 100 && status < 200);
}

} // namespace Pistachio::Transport::Internal
