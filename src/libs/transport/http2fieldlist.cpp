#include "transport/http2fieldlist.h"

#include <algorithm>
#include <cctype>

namespace Pistachio::Transport::Internal
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return std::tolower(c); });
    return result;
}

/// HTTP/2 forbids the fields that manage an HTTP/1.1 connection.
bool isConnectionField(std::string_view lowerCaseName)
{
    return lowerCaseName == "connection" || lowerCaseName == "keep-alive" || lowerCaseName == "transfer-encoding"
        || lowerCaseName == "upgrade" || lowerCaseName == "proxy-connection" || lowerCaseName == "host";
}

} // namespace

void Http2FieldList::add(std::string name, std::string_view value)
{
    fields_.emplace_back(std::move(name), std::string(value));
}

void Http2FieldList::add(const Headers &headers)
{
    for (const auto &header : headers) {
        auto name = lowerCase(header.name);
        if (!isConnectionField(name))
            add(std::move(name), header.value);
    }
}

std::vector<nghttp2_nv> Http2FieldList::view()
{
    std::vector<nghttp2_nv> result;
    result.reserve(fields_.size());
    for (auto &[name, value] : fields_) {
        result.push_back({reinterpret_cast<std::uint8_t *>(name.data()), reinterpret_cast<std::uint8_t *>(value.data()),
                          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return result;
}

} // namespace Pistachio::Transport::Internal
