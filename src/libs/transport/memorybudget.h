#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>

namespace Pistachio::Transport
{

/// The memory that all connections of a process may hold together for what their peers have sent, or don't read.
///
/// When it is used up, the holders that do least give theirs up: idle connections first, the longest idle one before
/// the others; then those that have received least of what they announced for the longest time; then those whose peers
/// don't read; streams of other instances last. A request that was handed on is never given up. It is used on one
/// thread.
class MemoryBudget
{
public:
    enum class Activity : std::uint8_t { Idle, Receiving, Sending, Handling };

    /// What a holder has done with its memory so far.
    struct Effort {
        Activity activity = Activity::Idle;
        bool isPeer = false; ///< another instance of the system
        std::size_t announcedBytes = 0; ///< of the message that is received, or its limit if its size is unknown
        std::size_t receivedBytes = 0;
        TimePoint since; ///< the beginning of the activity
    };

    /// Something that holds memory of a budget until it is destroyed.
    class Holder
    {
    public:
        /// \param budget shared by the holders
        explicit Holder(std::shared_ptr<MemoryBudget> budget);
        virtual ~Holder();
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        [[nodiscard]] virtual Effort effort() const = 0;

    protected:
        /// Gives the memory up, which setHeld() then tells.
        virtual void relinquish() = 0;

        /// \param bytes what it holds from now on; may call relinquish(), also of this holder
        /// \return whether the budget is kept now.
        bool setHeld(std::size_t bytes);
        [[nodiscard]] std::size_t held() const { return held_; }

    private:
        friend class MemoryBudget;

        std::shared_ptr<MemoryBudget> budget_;
        std::size_t held_ = 0;
    };

    using Clock = std::function<TimePoint()>;

    /// \param limit in bytes
    /// \param clock the time by which idle and slow holders are found
    MemoryBudget(std::size_t limit, Clock clock);

    /// \return a budget of \p limit bytes by the clock of the event loops.
    static std::shared_ptr<MemoryBudget> create(std::size_t limit);
    /// \param bodyBytes of one message
    /// \return a budget for a listener or a client that shares none with others.
    static std::shared_ptr<MemoryBudget> createDefault(std::size_t bodyBytes);

    [[nodiscard]] std::size_t held() const { return held_; }
    [[nodiscard]] std::size_t limit() const { return limit_; }

    /// \return whether a holder in \p one gives up its memory before one in \p other.
    [[nodiscard]] static bool doesLess(const Effort &one, const Effort &other, TimePoint now);

private:
    bool change(Holder &holder, std::size_t bytes);
    void relieve();

    const std::size_t limit_;
    const Clock clock_;
    std::size_t held_ = 0;
    std::unordered_set<Holder *> large_; ///< the holders whose memory is worth taking
    bool relieving_ = false;
};

} // namespace Pistachio::Transport
