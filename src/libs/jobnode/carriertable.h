#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Pistachio::Jobnode
{

/// Which control instance carries the orders for a minion: one in its availability zone if there is one, as long as it
/// answers, and the same one each time. An instance that fell silent loses its minions at once.
class CarrierTable
{
public:
    /// \param ownZone the availability zone of the leader, which calls the minions there itself
    explicit CarrierTable(std::string ownZone);

    /// \param instances the addresses of those that may carry orders, in place of earlier ones; forgets the others
    void setInstances(TimePoint now, std::span<const std::string> instances);

    /// The instance has taken orders, or has answered a question without any.
    /// \param sentAt when they were handed over
    /// \param zone its availability zone
    void answered(TimePoint now, const std::string &instance, TimePoint sentAt, std::string zone);

    /// \param readAt when the answer with the reading was handled, on a clock that counts the lateness of this process
    /// \param clock the reading
    void recordClock(TimePoint readAt, const std::string &instance, Duration clock);

    /// The instance has not taken orders, and is left alone for \p pause.
    void failed(TimePoint now, const std::string &instance, Duration pause);

    /// \return the instances that were not asked for a while, which are asked now.
    [[nodiscard]] std::vector<std::string> takeDue(TimePoint now);
    void asked(TimePoint now, const std::string &instance);

    /// \param at on the clock of recordClock()
    /// \return what the clock of the instance shows at the least, or nothing if it hasn't answered.
    [[nodiscard]] std::optional<Duration> clockAtLeast(TimePoint at, const std::string &instance) const;

    [[nodiscard]] bool isUsable(const std::string &instance) const;

    /// \return the instance that carries the orders for a minion, or nothing if the leader calls it.
    [[nodiscard]] std::optional<std::string> carrierOf(const std::string &minion, std::string_view zone) const;

    void clear();

private:
    struct ClockReading {
        TimePoint readAt{};
        Duration clock{};

        [[nodiscard]] Duration atLeast(TimePoint at) const;
    };
    struct Instance {
        std::string zone;
        std::optional<TimePoint> answeredAt; ///< when the question was sent that it answered last
        std::optional<ClockReading> clock; ///< the one that says most
        TimePoint askedAt{};
        TimePoint notBefore{}; ///< it failed and is left alone until then
        bool isUsable = false;
    };

    void update(TimePoint now);

    const std::string ownZone_;
    std::map<std::string, Instance> instances_; ///< by address
};

} // namespace Pistachio::Jobnode
