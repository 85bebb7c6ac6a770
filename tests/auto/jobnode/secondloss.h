#pragma once

#include "core/random.h"
#include "core/time.h"
#include "membershipcell.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Pistachio::Jobnode
{

/// A control instance is replaced, and another loss follows.
class SecondLoss
{
public:
    enum class Kind : std::uint8_t {
        Wipe, ///< loses its disk and comes back at its address
        Replace, ///< is lost for good and replaced as well
        PowerLoss, ///< is down for some seconds and keeps its disk
        Freeze,
        CutOff,
        CutInbound, ///< receives nothing
        CutOutbound, ///< what it sends is lost
        Restart, ///< its process ends and starts again
        KillAll, ///< all processes end at the same moment and are back within a second
        Split, ///< the instances are cut in two halves
        SuccessorWiped, ///< the successor loses its disk, twice
        SuccessorWipedAtChange, ///< while a change of its membership is not yet committed
        LeaderKilledAtChange, ///< the leader's process ends at that moment
        OldReturns, ///< the old instance was only cut off, and is back after it has lost its vote
        OldReturnsWithOther, ///< together with another one it is still cut off from the rest
    };
    static const std::vector<Kind> &allKinds();

    /// \param at the time of the second loss after the start of the successor
    /// \param isPlanned the successor starts before the old instance ends
    SecondLoss(Kind kind, Duration at, bool isPlanned, std::uint64_t seed, std::size_t voters = 3);

    /// \return what is wrong, with the kind, the second and the seed, or nothing.
    std::string play();

    /// \return whether the platform allows this kind of loss at that time.
    [[nodiscard]] static bool isAllowed(Kind kind, Duration at, bool isPlanned, std::size_t voters = 3);

private:
    using Node = MembershipCell::Node;

    void prepare();
    void replaceFirst();
    void loseAgain();
    void wipe(Node &node);
    void replace(Node &node);
    void cut(Node &node, bool inbound, bool outbound);
    void killAll();
    void split();
    void wipeSuccessorTwice();
    void awaitChange();
    void killLeader();
    void returnWithOther();
    void takeDown(Node &node, Duration downTime);
    void checkSuccessor(Duration age);
    void checkService();
    void report(const std::string &text);
    Node &randomNode();
    Duration between(Duration shortest, Duration longest);

    Kind kind_;
    Duration at_;
    bool isPlanned_;
    std::size_t voters_;
    RandomSource random_;
    MembershipCell cell_;
    Node *old_ = nullptr;
    Node *successor_ = nullptr;
    bool isTolerated_ = true; ///< no more is lost at a time than the group bears
    std::string problems_;
    std::string title_;
};

} // namespace Pistachio::Jobnode
