#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>

namespace Pistachio::Jobnode
{

/// Whether answers of an entry go by configurations in the order in which their requests arrived, so that nobody sees
/// the entry go back from a newer configuration to an older one.
class AnswerOrder
{
public:
    enum class Verdict : std::uint8_t {
        InOrder,
        Outdated, ///< a request that arrived earlier was answered by a newer configuration
        TooNew, ///< a request that arrived later was answered by an older configuration
    };

    /// \param arrived when the request arrived
    /// \param version of the configuration that its answer goes by; 0: none
    [[nodiscard]] Verdict check(TimePoint arrived, std::uint64_t version) const;

    /// The request was answered.
    void record(TimePoint arrived, std::uint64_t version);

private:
    /// When requests arrived that were answered by a version.
    struct Arrivals {
        TimePoint first{};
        TimePoint last{};
    };

    std::map<std::uint64_t, Arrivals> versions_; ///< the latest few
};

} // namespace Pistachio::Jobnode
