#pragma once

#include <unordered_map>
#include <utility>

namespace Pistachio
{

/// Tracks the amounts that each owner uses against its limit. An owner without a limit is not limited.
/// \tparam Owner a hashable key
/// \tparam Amounts has +=, -=, == and fitsIn()
template<class Owner, class Amounts> class QuotaLedger
{
public:
    /// Replaces all limits.
    void setLimits(std::unordered_map<Owner, Amounts> limits) { limits_ = std::move(limits); }

    /// \param amount what would be used in addition
    /// \return whether the owner may use \p amount more.
    [[nodiscard]] bool allows(const Owner &owner, const Amounts &amount) const
    {
        const auto *ownersLimit = limit(owner);
        if (!ownersLimit)
            return true;
        auto sum = used(owner);
        sum += amount;
        return sum.fitsIn(*ownersLimit);
    }

    void charge(const Owner &owner, const Amounts &amount) { used_[owner] += amount; }

    void refund(const Owner &owner, const Amounts &amount)
    {
        const auto found = used_.find(owner);
        if (found == used_.end())
            return;
        found->second -= amount;
        if (found->second == Amounts{})
            used_.erase(found);
    }

    /// Forgets all use; the limits stay.
    void clearUsed() { used_.clear(); }

    /// \return what the owner uses.
    [[nodiscard]] Amounts used(const Owner &owner) const
    {
        const auto found = used_.find(owner);
        return found == used_.end() ? Amounts{} : found->second;
    }

    /// \return the limit, or null.
    [[nodiscard]] const Amounts *limit(const Owner &owner) const
    {
        const auto found = limits_.find(owner);
        return found == limits_.end() ? nullptr : &found->second;
    }

private:
    std::unordered_map<Owner, Amounts> limits_;
    std::unordered_map<Owner, Amounts> used_;
};

} // namespace Pistachio
