#include "jobs/renewalhistory.h"

namespace Pistachio::Jobs
{

void RenewalHistory::sent(TimePoint now, const LeaseOrder &order)
{
    auto &renewal = renewals_.at(next_);
    next_ = (next_ + 1) % kept;
    renewal = {};
    renewal.sentAt = now;
    renewal.wait = order.wait;
    renewal.leaseExpiresAtMs = order.leaseExpiresAtMs;
    renewal.acknowledgedEnd = order.acknowledgedEnd;
}

void RenewalHistory::answered(TimePoint now, OrderOutcome outcome, std::uint64_t seenEnd)
{
    auto &renewal = renewals_.at((next_ + kept - 1) % kept);
    renewal.answeredAt = now;
    renewal.outcome = outcome;
    renewal.seenEnd = seenEnd;
}

std::string RenewalHistory::toString(TimePoint now) const
{
    std::string text;
    for (std::size_t offset = 0; offset < kept; ++offset) {
        const auto &renewal = renewals_.at((next_ + offset) % kept);
        if (renewal.sentAt == TimePoint{})
            continue;
        const bool isAnswered = renewal.answeredAt != TimePoint{};
        text += text.empty() ? "" : "; ";
        text += "sent " + std::to_string((now - renewal.sentAt) / 1ms) + " ms ago, wait "
            + std::to_string(renewal.wait / 1ms) + ", lease until "
            + (renewal.leaseExpiresAtMs ? std::to_string(*renewal.leaseExpiresAtMs) : "none") + ", acknowledged "
            + std::to_string(renewal.acknowledgedEnd) + ": ";
        if (isAnswered)
            text += Jobs::toString(renewal.outcome) + " after "
                + std::to_string((renewal.answeredAt - renewal.sentAt) / 1ms) + " ms, seen "
                + std::to_string(renewal.seenEnd);
        else
            text += "outstanding";
    }
    return text;
}

} // namespace Pistachio::Jobs
