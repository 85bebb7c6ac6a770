#pragma once

#include "transport/message.h"

#include <nghttp2/nghttp2.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Pistachio::Transport::Internal
{

/// Header fields in the form of nghttp2. The strings are only borrowed by nghttp2 during the submission.
class Http2FieldList
{
public:
    void add(std::string name, std::string_view value);

    /// Adds the fields that HTTP/2 allows, with names in lower case.
    void add(const Headers &headers);

    /// \return the fields; valid until the next change of the list.
    [[nodiscard]] std::vector<nghttp2_nv> view();

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace Pistachio::Transport::Internal
