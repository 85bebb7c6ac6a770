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

/// One request in a zone with two entries and three minions. The fault happens to the first entry's first try.
class World
{
public:
    World(Fault fault, bool idempotent, bool treatAsIdempotent)
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

    /// \return what the caller is told: an outcome, "in-progress", or "nothing" when the entry died.
    std::string ask(std::size_t entry)
    {
        const RequestId id("request-" + std::to_string(++requests_));
        announce();
        routers_[entry]->requestArrived(now_, {id, CallerId("school"), service, now_ + timeout, idempotent_, key, "f"});
        perform(entry);
        for (const TimePoint end = now_ + timeout + 1s; now_ < end; now_ += 10ms)
            step();
        const auto told = answers_.find(id);
        return told == answers_.end() ? "nothing" : told->second;
    }

    void waitForSilence()
    {
        now_ += 12s;
        if (dead_)
            table_.entrySilent(entries_[0].id.value(), 1);
    }

    [[nodiscard]] int runs() const { return runs_; }
    [[nodiscard]] int answers() const { return answerCount_; }

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
        const auto due = std::exchange(later_, {});
        for (const auto &[time, action] : due) {
            if (time <= now_)
                action();
            else
                later_.emplace(time, action);
        }
        for (std::size_t entry = 0; entry < routers_.size(); ++entry) {
            if (isDead(entry))
                continue;
            routers_[entry]->tick(now_);
            perform(entry);
        }
    }

    [[nodiscard]] bool isDead(std::size_t entry) const { return dead_ && entry == 0; }

    /// \return whether the fault happens now; it happens once.
    bool strikes(std::size_t entry, Fault fault)
    {
        if (entry != 0 || fault_ != fault || struck_)
            return false;
        struck_ = true;
        return true;
    }

    void perform(std::size_t entry)
    {
        for (const Command &command : routers_[entry]->takeCommands()) {
            if (isDead(entry))
                return;
            if (const auto *claim = std::get_if<ClaimCommand>(&command))
                performClaim(entry, *claim);
            else if (const auto *send = std::get_if<SendCommand>(&command))
                performSend(entry, *send);
            else if (const auto *finish = std::get_if<FinishCommand>(&command))
                performFinish(entry, *finish);
            else if (const auto *answer = std::get_if<AnswerCommand>(&command))
                performAnswer(entry, *answer);
        }
    }

    void performClaim(std::size_t entry, const ClaimCommand &command)
    {
        if (strikes(entry, Fault::EntryDiesBeforeClaim)) {
            dead_ = true;
            return;
        }
        if (strikes(entry, Fault::ClaimUnavailable))
            return answerClaim(entry, command, ClaimState::Unavailable);
        Wire::ClaimRequest claim;
        claim.set_key(command.key);
        claim.set_fingerprint(command.fingerprint);
        claim.set_entry(entries_[entry].id.value());
        claim.set_attempt(command.attempt.value());
        const Wire::ZoneResult result = table_.claim(claim, 1);
        if (strikes(entry, Fault::EntryDiesAfterClaim))
            dead_ = true;
        else if (strikes(entry, Fault::ClaimAnswerLate))
            later_.emplace(now_ + 3s, [this, entry, command] { answerClaim(entry, command, ClaimState::Claimed); });
        else if (!strikes(entry, Fault::ClaimAnswerLost))
            answerClaim(entry, command, stateOf(result));
    }

    static ClaimState stateOf(const Wire::ZoneResult &result)
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
        perform(entry);
    }

    void performSend(std::size_t entry, const SendCommand &command)
    {
        const auto end = [this, entry, command](AttemptEnd how, Duration after = {}) {
            later_.emplace(now_ + after, [this, entry, command, how] {
                routers_[entry]->attemptFinished(now_, {command.attempt, how, 200});
                if (strikes(entry, Fault::EntryDiesBeforeAnswering))
                    dead_ = true;
                else
                    perform(entry);
            });
        };
        if (strikes(entry, Fault::RefusedSlots))
            return end(AttemptEnd::RefusedSlots);
        if (strikes(entry, Fault::NotWritten))
            return end(AttemptEnd::NotWritten);
        if (strikes(entry, Fault::MinionDiesBeforeRunning))
            return end(AttemptEnd::ConnectionLost);
        ++runs_;
        if (strikes(entry, Fault::EntryDiesAfterSending)) {
            dead_ = true;
            return;
        }
        if (strikes(entry, Fault::MinionDiesAfterRunning))
            return end(AttemptEnd::ConnectionLost);
        if (strikes(entry, Fault::AnswerTruncated))
            return end(AttemptEnd::Truncated);
        if (strikes(entry, Fault::AnswerLost))
            return;
        if (strikes(entry, Fault::AnswerLate))
            return end(AttemptEnd::Answered, timeout + 100ms);
        if (strikes(entry, Fault::AnswerDuplicated))
            end(AttemptEnd::Answered);
        end(AttemptEnd::Answered);
    }

    void performFinish(std::size_t entry, const FinishCommand &command)
    {
        Wire::FinishRequest finish;
        finish.set_key(command.key);
        finish.set_attempt(command.attempt.value());
        finish.set_outcome(command.outcome == Outcome::Run          ? Wire::REQUEST_OUTCOME_RUN
                               : command.outcome == Outcome::NotRun ? Wire::REQUEST_OUTCOME_NOT_RUN
                                                                    : Wire::REQUEST_OUTCOME_UNKNOWN);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, table_.finish(finish, 1).code());
        static_cast<void>(entry);
    }

    void performAnswer(std::size_t, const AnswerCommand &command)
    {
        ++answerCount_;
        const bool inProgress = command.reason == AnswerReason::InProgress;
        answers_[command.request] = inProgress ? "in-progress" : std::string(toString(command.outcome));
    }

    Fault fault_;
    bool idempotent_;
    bool struck_ = false;
    bool dead_ = false;
    TimePoint now_ = TimePoint() + 1h;
    std::vector<EntryInfo> entries_{{InstanceId("entry-1"), ZoneId("svealand"), "north"},
                                    {InstanceId("entry-2"), ZoneId("svealand"), "north"}};
    std::array<std::unique_ptr<Router>, 2> routers_;
    ZoneState::RequestTable table_;
    std::multimap<TimePoint, std::function<void()>> later_;
    std::map<RequestId, std::string> answers_;
    int requests_ = 0;
    int runs_ = 0;
    int answerCount_ = 0;
};

struct Row {
    const char *name;
    Fault fault;
    bool idempotent;
    const char *told; ///< by the first entry
    const char *toldOnResend; ///< by the second entry, right after the first one's deadline
    const char *toldLater; ///< by the second entry once the first one was silent for 12 s
    int runs;
};

// Runs of non-idempotent requests never exceed one, and "not-run" is only followed by runs of a later resend.
const std::vector<Row> rows{
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
    {"refused for want of slots", Fault::RefusedSlots, false, "run", "run", "run", 1},
    {"nothing written", Fault::NotWritten, false, "run", "run", "run", 1},
    {"claim not committed", Fault::ClaimUnavailable, false, "not-run", "run", "run", 1},
    {"answer to the claim lost", Fault::ClaimAnswerLost, false, "not-run", "run", "run", 1},
    {"answer to the claim late", Fault::ClaimAnswerLate, false, "not-run", "run", "run", 1},
    // Idempotent requests are retried; each of the two resends runs once more.
    {"idempotent, no fault", Fault::None, true, "run", "run", "run", 3},
    {"idempotent, entry dies after sending", Fault::EntryDiesAfterSending, true, "nothing", "run", "run", 3},
    {"idempotent, minion dies before running", Fault::MinionDiesBeforeRunning, true, "run", "run", "run", 3},
    {"idempotent, minion dies after running", Fault::MinionDiesAfterRunning, true, "run", "run", "run", 4},
    {"idempotent, answer lost", Fault::AnswerLost, true, "run", "run", "run", 4},
    {"idempotent, answer late", Fault::AnswerLate, true, "run", "run", "run", 4},
    {"idempotent, answer duplicated", Fault::AnswerDuplicated, true, "run", "run", "run", 3},
    {"idempotent, answer truncated", Fault::AnswerTruncated, true, "run", "run", "run", 4},
};

/// \return what differs from the table, empty when nothing does.
std::string differences(const Row &row, bool broken)
{
    World world(row.fault, row.idempotent, broken);
    const std::string told = world.ask(0);
    const std::string resent = world.ask(1);
    world.waitForSilence();
    const std::string later = world.ask(1);
    const int expectedAnswers = std::string_view(row.told) == "nothing" ? 2 : 3;
    std::ostringstream text;
    if (told != row.told || resent != row.toldOnResend || later != row.toldLater || world.runs() != row.runs
        || world.answers() != expectedAnswers) {
        text << row.name << ": told " << told << ", " << resent << ", " << later << ", " << world.runs() << " runs, "
             << world.answers() << " answers\n";
    }
    return text.str();
}

} // namespace

class FaultTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FaultTableTest);
    CPPUNIT_TEST(eachFaultAtEachStepIsToldTruthfully);
    CPPUNIT_TEST(ignoringIdempotenceIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong outcome, a second run or a second answer after a fault at any step of a request.
    void eachFaultAtEachStepIsToldTruthfully()
    {
        std::string all;
        for (const Row &row : rows)
            all += differences(row, false);
        CPPUNIT_ASSERT_EQUAL(std::string(), all);
    }

    // Guards against a table that passes whatever the router does: here it takes every request for an idempotent one.
    void ignoringIdempotenceIsDetected()
    {
        for (const Row &row : rows) {
            if (!row.idempotent)
                CPPUNIT_ASSERT_MESSAGE(row.name, !differences(row, true).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTableTest);
