#include "routing/balancers.h"
#include "routing/router.h"
#include "routing/slotpolicies.h"
#include "zonestate/requesttable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <zone.pb.h>

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>

using namespace Pistachio;
using namespace Pistachio::Routing;

namespace
{

enum class Fault {
    None,
    EntryDiesBeforeClaim,
    EntryDiesAfterClaim,
    EntryDiesAfterSending,
    EntryDiesBeforeAnswering,
    MinionDiesBeforeRunning,
    MinionDiesAfterRunning,
    AnswerLost,
    AnswerLate,
    AnswerDuplicated,
    AnswerTruncated,
    RefusedSlots,
    NotWritten,
    ClaimUnavailable,
    ClaimAnswerLost,
    ClaimAnswerLate,
};

const ServiceId service("ordering");
const std::string key = "svealand~1";
constexpr Duration timeout = 4s;

/// A request in a zone with two entries and three minions. The fault happens once, at the first entry.
class FaultSimulation
{
public:
    FaultSimulation(Fault fault, bool idempotent, bool treatAsIdempotent)
        : fault_(fault)
        , idempotent_(idempotent || treatAsIdempotent)
    {
        for (std::size_t index = 0; index < routers_.size(); ++index) {
            RouterSettings settings;
            settings.self = entries_[index];
            settings.attemptPrefix = entries_[index].id.value();
            routers_[index] = std::make_unique<Router>(settings, std::make_unique<TwoChoicesByShare>(),
                                                       std::make_unique<FixedShares>(), index + 1);
            routers_[index]->entriesChanged(now_ - 1min, entries_);
            routers_[index]->tick(now_);
        }
    }

    /// Submits the request to an entry and waits beyond its deadline.
    /// \return the outcome, "in-progress", or "nothing" when the entry died.
    std::string submit(std::size_t entry)
    {
        const RequestId id("request-" + std::to_string(++requests_));
        announce();
        routers_[entry]->requestArrived(now_, {id, CallerId("school"), service, now_ + timeout, idempotent_, key, "f"});
        executeCommands(entry);
        for (const TimePoint end = now_ + timeout + 1s; now_ < end; now_ += 10ms)
            step();
        const auto answer = answers_.find(id);
        return answer == answers_.end() ? "nothing" : answer->second;
    }

    void passSilenceTime()
    {
        now_ += 12s;
        if (entryDead_)
            requestTable_.entrySilent(entries_[0].id.value(), 1);
    }

    [[nodiscard]] int runs() const { return runs_; }
    [[nodiscard]] int answerCount() const { return answerCount_; }

private:
    void announce()
    {
        for (std::size_t entry = 0; entry < routers_.size(); ++entry) {
            for (const char *minion : {"a", "b", "c"})
                routers_[entry]->minionAnnounced(now_, {MinionId(minion), service, minion});
        }
    }

    void step()
    {
        announce();
        const auto due = std::exchange(delayedActions_, {});
        for (const auto &[time, action] : due) {
            if (time <= now_)
                action();
            else
                delayedActions_.emplace(time, action);
        }
        for (std::size_t entry = 0; entry < routers_.size(); ++entry) {
            if (isDead(entry))
                continue;
            routers_[entry]->tick(now_);
            executeCommands(entry);
        }
    }

    [[nodiscard]] bool isDead(std::size_t entry) const { return entryDead_ && entry == 0; }

    /// Triggers the fault if it is configured for this entry and has not happened yet.
    /// \return whether it was triggered.
    bool triggerFault(std::size_t entry, Fault fault)
    {
        if (entry != 0 || fault_ != fault || faultTriggered_)
            return false;
        faultTriggered_ = true;
        return true;
    }

    void executeCommands(std::size_t entry)
    {
        for (const Command &command : routers_[entry]->takeCommands()) {
            if (isDead(entry))
                return;
            if (const auto *claim = std::get_if<ClaimCommand>(&command))
                executeClaim(entry, *claim);
            else if (const auto *send = std::get_if<SendCommand>(&command))
                executeSend(entry, *send);
            else if (const auto *finish = std::get_if<FinishCommand>(&command))
                executeFinish(entry, *finish);
            else if (const auto *answer = std::get_if<AnswerCommand>(&command))
                executeAnswer(entry, *answer);
        }
    }

    void executeClaim(std::size_t entry, const ClaimCommand &command)
    {
        if (triggerFault(entry, Fault::EntryDiesBeforeClaim)) {
            entryDead_ = true;
            return;
        }
        if (triggerFault(entry, Fault::ClaimUnavailable))
            return answerClaim(entry, command, ClaimState::Unavailable);
        Wire::ClaimRequest claim;
        claim.set_key(command.key);
        claim.set_fingerprint(command.fingerprint);
        claim.set_entry(entries_[entry].id.value());
        claim.set_attempt(command.attempt.value());
        const Wire::ZoneResult result = requestTable_.claim(claim, 1);
        if (triggerFault(entry, Fault::EntryDiesAfterClaim))
            entryDead_ = true;
        else if (triggerFault(entry, Fault::ClaimAnswerLate))
            delayedActions_.emplace(now_ + 3s,
                                    [this, entry, command] { answerClaim(entry, command, ClaimState::Claimed); });
        else if (!triggerFault(entry, Fault::ClaimAnswerLost))
            answerClaim(entry, command, claimStateOf(result));
    }

    static ClaimState claimStateOf(const Wire::ZoneResult &result)
    {
        if (result.code() == Wire::ZONE_RESULT_ACCEPTED)
            return ClaimState::Claimed;
        if (result.code() != Wire::ZONE_RESULT_ALREADY_CLAIMED)
            return ClaimState::Unavailable;
        if (result.record().state() == Wire::REQUEST_STATE_CLAIMED)
            return ClaimState::InProgress;
        return result.record().outcome() == Wire::REQUEST_OUTCOME_RUN ? ClaimState::FinishedRun
                                                                      : ClaimState::FinishedUnknown;
    }

    void answerClaim(std::size_t entry, const ClaimCommand &command, ClaimState state)
    {
        routers_[entry]->claimAnswered(now_, {command.request, command.attempt, state});
        executeCommands(entry);
    }

    void executeSend(std::size_t entry, const SendCommand &command)
    {
        const auto end = [this, entry, command](AttemptEnd attemptEnd, Duration after = {}) {
            delayedActions_.emplace(now_ + after, [this, entry, command, attemptEnd] {
                routers_[entry]->attemptFinished(now_, {command.attempt, attemptEnd, 200});
                if (triggerFault(entry, Fault::EntryDiesBeforeAnswering))
                    entryDead_ = true;
                else
                    executeCommands(entry);
            });
        };
        if (triggerFault(entry, Fault::RefusedSlots))
            return end(AttemptEnd::RefusedSlots);
        if (triggerFault(entry, Fault::NotWritten))
            return end(AttemptEnd::NotWritten);
        if (triggerFault(entry, Fault::MinionDiesBeforeRunning))
            return end(AttemptEnd::ConnectionLost);
        ++runs_;
        if (triggerFault(entry, Fault::EntryDiesAfterSending)) {
            entryDead_ = true;
            return;
        }
        if (triggerFault(entry, Fault::MinionDiesAfterRunning))
            return end(AttemptEnd::ConnectionLost);
        if (triggerFault(entry, Fault::AnswerTruncated))
            return end(AttemptEnd::Truncated);
        if (triggerFault(entry, Fault::AnswerLost))
            return;
        if (triggerFault(entry, Fault::AnswerLate))
            return end(AttemptEnd::Answered, timeout + 100ms);
        if (triggerFault(entry, Fault::AnswerDuplicated))
            end(AttemptEnd::Answered);
        end(AttemptEnd::Answered);
    }

    void executeFinish(std::size_t entry, const FinishCommand &command)
    {
        Wire::FinishRequest finish;
        finish.set_key(command.key);
        finish.set_attempt(command.attempt.value());
        finish.set_outcome(command.outcome == Outcome::Run          ? Wire::REQUEST_OUTCOME_RUN
                               : command.outcome == Outcome::NotRun ? Wire::REQUEST_OUTCOME_NOT_RUN
                                                                    : Wire::REQUEST_OUTCOME_UNKNOWN);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, requestTable_.finish(finish, 1).code());
        static_cast<void>(entry);
    }

    void executeAnswer(std::size_t, const AnswerCommand &command)
    {
        ++answerCount_;
        const bool inProgress = command.reason == AnswerReason::InProgress;
        answers_[command.request] = inProgress ? "in-progress" : std::string(toString(command.outcome));
    }

    Fault fault_;
    bool idempotent_;
    bool faultTriggered_ = false;
    bool entryDead_ = false;
    TimePoint now_ = TimePoint() + 1h;
    std::vector<EntryInfo> entries_{{InstanceId("entry-1"), ZoneId("svealand"), "north"},
                                    {InstanceId("entry-2"), ZoneId("svealand"), "north"}};
    std::array<std::unique_ptr<Router>, 2> routers_;
    ZoneState::RequestTable requestTable_;
    std::multimap<TimePoint, std::function<void()>> delayedActions_;
    std::map<RequestId, std::string> answers_;
    int requests_ = 0;
    int runs_ = 0;
    int answerCount_ = 0;
};

struct FaultCase {
    const char *name;
    Fault fault;
    bool idempotent;
    const char *outcome; ///< from the first entry
    const char *outcomeOfResend; ///< from the second entry, right after the deadline
    const char *outcomeAfterSilence; ///< from the second entry, when the first one has been silent for 12 s
    int runs;
};

// A non-idempotent request runs at most once; after "not-run" only a later resend runs.
const std::vector<FaultCase> faultCases{
    {"no fault", Fault::None, false, "run", "run", "run", 1},
    {"entry dies before the claim", Fault::EntryDiesBeforeClaim, false, "nothing", "run", "run", 1},
    {"entry dies after the claim", Fault::EntryDiesAfterClaim, false, "nothing", "in-progress", "unknown", 0},
    {"entry dies after sending", Fault::EntryDiesAfterSending, false, "nothing", "in-progress", "unknown", 1},
    {"entry dies before answering", Fault::EntryDiesBeforeAnswering, false, "nothing", "in-progress", "unknown", 1},
    {"minion dies before running", Fault::MinionDiesBeforeRunning, false, "unknown", "unknown", "unknown", 0},
    {"minion dies after running", Fault::MinionDiesAfterRunning, false, "unknown", "unknown", "unknown", 1},
    {"answer lost", Fault::AnswerLost, false, "unknown", "unknown", "unknown", 1},
    {"answer late", Fault::AnswerLate, false, "unknown", "unknown", "unknown", 1},
    {"answer duplicated", Fault::AnswerDuplicated, false, "run", "run", "run", 1},
    {"answer truncated", Fault::AnswerTruncated, false, "unknown", "unknown", "unknown", 1},
    {"refused, all slots in use", Fault::RefusedSlots, false, "run", "run", "run", 1},
    {"nothing written", Fault::NotWritten, false, "run", "run", "run", 1},
    {"claim not committed", Fault::ClaimUnavailable, false, "not-run", "run", "run", 1},
    {"answer to the claim lost", Fault::ClaimAnswerLost, false, "not-run", "run", "run", 1},
    {"answer to the claim late", Fault::ClaimAnswerLate, false, "not-run", "run", "run", 1},
    // Idempotent requests are retried, and each of the two resends runs again.
    {"idempotent, no fault", Fault::None, true, "run", "run", "run", 3},
    {"idempotent, entry dies after sending", Fault::EntryDiesAfterSending, true, "nothing", "run", "run", 3},
    {"idempotent, minion dies before running", Fault::MinionDiesBeforeRunning, true, "run", "run", "run", 3},
    {"idempotent, minion dies after running", Fault::MinionDiesAfterRunning, true, "run", "run", "run", 4},
    {"idempotent, answer lost", Fault::AnswerLost, true, "run", "run", "run", 4},
    {"idempotent, answer late", Fault::AnswerLate, true, "run", "run", "run", 4},
    {"idempotent, answer duplicated", Fault::AnswerDuplicated, true, "run", "run", "run", 3},
    {"idempotent, answer truncated", Fault::AnswerTruncated, true, "run", "run", "run", 4},
};

/// \param treatAsIdempotent whether the router takes the request for an idempotent one
/// \return the results that differ from those expected; empty when none do.
std::string differences(const FaultCase &faultCase, bool treatAsIdempotent)
{
    FaultSimulation simulation(faultCase.fault, faultCase.idempotent, treatAsIdempotent);
    const std::string outcome = simulation.submit(0);
    const std::string outcomeOfResend = simulation.submit(1);
    simulation.passSilenceTime();
    const std::string outcomeAfterSilence = simulation.submit(1);
    const int expectedAnswers = std::string_view(faultCase.outcome) == "nothing" ? 2 : 3;
    std::ostringstream text;
    if (outcome != faultCase.outcome || outcomeOfResend != faultCase.outcomeOfResend
        || outcomeAfterSilence != faultCase.outcomeAfterSilence || simulation.runs() != faultCase.runs
        || simulation.answerCount() != expectedAnswers) {
        text << faultCase.name << ": outcomes " << outcome << ", " << outcomeOfResend << ", " << outcomeAfterSilence
             << ", " << simulation.runs() << " runs, " << simulation.answerCount() << " answers\n";
    }
    return text.str();
}

} // namespace

class FaultTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultTableTest);
    CPPUNIT_TEST(faultAtEachStepGivesExpectedOutcome);
    CPPUNIT_TEST(ignoredIdempotencyIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong outcome, a second run or a second answer after a fault at any step of a request.
    void faultAtEachStepGivesExpectedOutcome()
    {
        std::string all;
        for (const FaultCase &faultCase : faultCases)
            all += differences(faultCase, false);
        CPPUNIT_ASSERT_EQUAL(std::string(), all);
    }

    // Guards against expectations that any router meets: one that takes every request as idempotent must not.
    void ignoredIdempotencyIsDetected()
    {
        for (const FaultCase &faultCase : faultCases) {
            if (!faultCase.idempotent)
                CPPUNIT_ASSERT_MESSAGE(faultCase.name, !differences(faultCase, true).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTableTest);
