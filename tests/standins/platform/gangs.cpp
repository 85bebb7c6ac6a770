#include "platform/gangs.h"

#include "platform/simulatedminion.h"

#include <vector>

namespace Pistachio::Standin
{

namespace
{

constexpr Duration workTime = 500ms;
constexpr Duration timeout = 4s; ///< the platform's gangTimeoutMs: a member that waits longer ends alone
constexpr Duration notYet = 1h;

} // namespace

Gangs::Gangs(Size size)
    : size_(std::move(size))
{
}

void Gangs::tick(TimePoint now, std::span<SimulatedMinion *const> minions)
{
    std::map<std::pair<Jobs::StepName, std::uint64_t>, std::vector<SimulatedMinion::Work *>> present;
    for (auto *minion : minions) {
        for (auto &[task, work] : minion->runs) {
            if (size_(task.step) > 0)
                present[{task.step, work.run}].push_back(&work);
        }
    }
    for (auto &[key, members] : present) {
        auto &gang = gangs_[key];
        if (gang.firstSeen == TimePoint{})
            gang.firstSeen = now;
        const bool isComplete = members.size() == size_(key.first);
        if (isComplete && gang.endsAt == TimePoint{})
            gang.endsAt = now + workTime;
        const bool hasBegun = gang.endsAt != TimePoint{};
        for (auto *work : members) {
            work->endsAt = hasBegun ? gang.endsAt : now + notYet;
            if (!hasBegun && now >= gang.firstSeen + timeout) {
                work->how = Jobs::RunEnd::GangIncomplete;
                work->endsAt = now;
            } else if (hasBegun && !isComplete && now < gang.endsAt) {
                work->how = Jobs::RunEnd::GangMemberEnded;
                work->endsAt = now;
            }
        }
    }
}

} // namespace Pistachio::Standin
