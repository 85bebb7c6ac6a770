#include "jobnode/answerorder.h"

#include <algorithm>
#include <cstddef>

namespace Pistachio::Jobnode
{

namespace
{
constexpr std::size_t keptVersions = 16; ///< more than are put in force while a request waits
}

AnswerOrder::Verdict AnswerOrder::check(TimePoint arrived, std::uint64_t version) const
{
    if (version == 0)
        return Verdict::InOrder;
    for (const auto &[other, arrivals] : versions_) {
        if (other > version && arrivals.first < arrived)
            return Verdict::Outdated;
        if (other < version && arrivals.last > arrived)
            return Verdict::TooNew;
    }
    return Verdict::InOrder;
}

void AnswerOrder::record(TimePoint arrived, std::uint64_t version)
{
    if (version == 0)
        return;
    auto &arrivals = versions_.try_emplace(version, Arrivals{arrived, arrived}).first->second;
    arrivals.first = std::min(arrivals.first, arrived);
    arrivals.last = std::max(arrivals.last, arrived);
    if (versions_.size() > keptVersions)
        versions_.erase(versions_.begin());
}

} // namespace Pistachio::Jobnode
