#pragma once

#include "transport/eventloop.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Pistachio::Standin
{

/// Makes an operator's single calls to control instances; it repeats nothing.
class OperatorClient
{
public:
    /// \param loop outlives the client
    explicit OperatorClient(Transport::EventLoop &loop);

    /// \param status of the answer; 0: none came
    using Replaced = std::function<void(int status)>;
    /// \param document the complete configuration
    void replace(const Transport::Endpoint &control, const std::string &document, Replaced replaced);

    /// \param version nothing when the instance could not tell
    using Read = std::function<void(std::optional<std::uint64_t> version)>;
    void read(const Transport::Endpoint &control, Read read);

private:
    Transport::HttpClient client_;
};

} // namespace Pistachio::Standin
