#include "core/random.h"
#include "zonestate/zonestate.h"

#include <zone.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace Pistachio;

namespace
{

constexpr std::int64_t dayMs = 24LL * 3600 * 1000;
constexpr std::int64_t startMs = 100 * dayMs;

void addAssignment(Wire::ZoneCommand &command, const std::string &booking, std::uint32_t index,
                   std::uint64_t incarnation, const std::string &worker, std::int64_t cores, bool prepared = false)
{
    Wire::Assignment &assignment = *command.mutable_assign_tasks()->add_assignments();
    assignment.mutable_task()->set_booking(booking);
    assignment.mutable_task()->set_index(index);
    assignment.set_incarnation(incarnation);
    assignment.set_worker(worker);
    assignment.mutable_resources()->set_milli_cores(cores);
    assignment.mutable_worker_capacity()->set_milli_cores(4);
    assignment.set_prepared_only(prepared);
}

Wire::ZoneCommand endOf(const std::string &booking, std::uint32_t index, std::uint64_t incarnation,
                        Wire::TaskEndReason reason)
{
    Wire::ZoneCommand command;
    Wire::TaskEnd &end = *command.mutable_end_tasks()->add_ends();
    end.mutable_task()->set_booking(booking);
    end.mutable_task()->set_index(index);
    end.set_incarnation(incarnation);
    end.set_reason(reason);
    return command;
}

Wire::ZoneCommand claimOf(const std::string &key, const std::string &attempt, const std::string &print = "p",
                          const std::string &entry = "entry-1")
{
    Wire::ZoneCommand command;
    command.set_proposed_unix_ms(startMs);
    command.mutable_claim_request()->set_key(key);
    command.mutable_claim_request()->set_attempt(attempt);
    command.mutable_claim_request()->set_fingerprint(print);
    command.mutable_claim_request()->set_entry(entry);
    return command;
}

Wire::ZoneCommand finishOf(const std::string &key, const std::string &attempt, Wire::RequestOutcome outcome)
{
    Wire::ZoneCommand command;
    command.set_proposed_unix_ms(startMs);
    command.mutable_finish_request()->set_key(key);
    command.mutable_finish_request()->set_attempt(attempt);
    command.mutable_finish_request()->set_outcome(outcome);
    return command;
}

Wire::ZoneResultCode codeOf(ZoneState::ZoneState &state, const Wire::ZoneCommand &command)
{
    return state.apply(command).code();
}

} // namespace

class ZoneStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ZoneStateTest);
    CPPUNIT_TEST(assignmentsAreTakenWholeAndWithinCapacity);
    CPPUNIT_TEST(gangStartsOnlyWithThePreparedIncarnations);
    CPPUNIT_TEST(forgettingKeepsIncarnationsGrowing);
    CPPUNIT_TEST(keyIsClaimedAnewOnlyAfterNotRun);
    CPPUNIT_TEST(finishThatOvertakesItsClaimRefusesIt);
    CPPUNIT_TEST(silentEntryMakesClaimsUnknown);
    CPPUNIT_TEST(recordsAreKeptForADay);
    CPPUNIT_TEST(floorAndDrainsHold);
    CPPUNIT_TEST(randomCommandsKeepTheRulesAndSnapshots);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against over-allocation by a stale leader and against half-assigned gang jobs (I1).
    void assignmentsAreTakenWholeAndWithinCapacity()
    {
        ZoneState::ZoneState state;
        Wire::ZoneCommand both;
        addAssignment(both, "a", 0, 1, "w", 3);
        addAssignment(both, "a", 1, 2, "w", 2);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, both));
        CPPUNIT_ASSERT(state.tasks().assignments().empty());

        Wire::ZoneCommand one;
        addAssignment(one, "a", 0, 1, "w", 3);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, one));
        Wire::ZoneCommand again;
        addAssignment(again, "a", 0, 2, "v", 1);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, again)); // I2
        state.apply(endOf("a", 0, 2, Wire::TASK_END_LOST));
        CPPUNIT_ASSERT(state.tasks().assignment({BookingId("a"), 0}) != nullptr); // another incarnation's end
        state.apply(endOf("a", 0, 1, Wire::TASK_END_COMPLETED));
        CPPUNIT_ASSERT(state.tasks().allocated(WorkerId("w")) == Resources{});
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, again)); // completed work never runs again
    }

    // Guards against a late StartJob that starts what is left of a released gang.
    void gangStartsOnlyWithThePreparedIncarnations()
    {
        ZoneState::ZoneState state;
        Wire::ZoneCommand assign;
        addAssignment(assign, "g", 0, 1, "w", 1, true);
        addAssignment(assign, "g", 1, 2, "v", 1, true);
        state.apply(assign);
        Wire::ZoneCommand start;
        start.mutable_start_job()->set_booking("g");
        start.mutable_start_job()->add_incarnations(1);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, start)); // one of two
        start.mutable_start_job()->add_incarnations(2);
        ZoneState::ZoneState other;
        CPPUNIT_ASSERT(other.restore(state.snapshot()).has_value());
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, start));
        CPPUNIT_ASSERT(state.tasks().assignment({BookingId("g"), 1})->started);

        other.apply(endOf("g", 1, 2, Wire::TASK_END_LOST));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(other, start));
        CPPUNIT_ASSERT(!other.tasks().assignment({BookingId("g"), 0})->started);
    }

    // Guards against an old incarnation that is taken for a new one after the history was dropped.
    void forgettingKeepsIncarnationsGrowing()
    {
        ZoneState::ZoneState state;
        Wire::ZoneCommand assign;
        addAssignment(assign, "a", 0, 7, "w", 1);
        state.apply(assign);
        Wire::ZoneCommand end = endOf("a", 0, 7, Wire::TASK_END_FAILED);
        end.set_proposed_unix_ms(startMs);
        state.apply(end);
        Wire::ZoneCommand forget;
        forget.mutable_forget_bookings()->add_bookings("a");
        forget.set_proposed_unix_ms(startMs + dayMs - 1);
        state.apply(forget);
        CPPUNIT_ASSERT_EQUAL(1U, state.tasks().past({BookingId("a"), 0})->failures);
        forget.set_proposed_unix_ms(startMs + dayMs);
        state.apply(forget);
        CPPUNIT_ASSERT(state.tasks().past({BookingId("a"), 0}) == nullptr);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, assign));
    }

    // Guards against a second run of non-idempotent work (I5).
    void keyIsClaimedAnewOnlyAfterNotRun()
    {
        ZoneState::ZoneState state;
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, claimOf("k", "1")));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ALREADY_CLAIMED, codeOf(state, claimOf("k", "2")));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_FINGERPRINT_MISMATCH, codeOf(state, claimOf("k", "2", "q")));
        state.apply(finishOf("k", "1", Wire::REQUEST_OUTCOME_NOT_RUN));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, claimOf("k", "1")));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, claimOf("k", "2")));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED,
                             codeOf(state, finishOf("k", "1", Wire::REQUEST_OUTCOME_RUN))); // not its claim
        state.apply(finishOf("k", "2", Wire::REQUEST_OUTCOME_RUN));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED,
                             codeOf(state, finishOf("k", "2", Wire::REQUEST_OUTCOME_NOT_RUN)));
        const Wire::ZoneResult stored = state.apply(claimOf("k", "3"));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ALREADY_CLAIMED, stored.code());
        CPPUNIT_ASSERT_EQUAL(Wire::REQUEST_OUTCOME_RUN, stored.record().outcome());
    }

    // Guards against a claim that is committed after its entry has told the caller `not run` (I4).
    void finishThatOvertakesItsClaimRefusesIt()
    {
        ZoneState::ZoneState state;
        state.apply(finishOf("k", "1", Wire::REQUEST_OUTCOME_NOT_RUN));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, claimOf("k", "1")));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, claimOf("k", "2")));
        state.apply(finishOf("k", "3", Wire::REQUEST_OUTCOME_NOT_RUN)); // overtakes while another attempt holds it
        state.apply(finishOf("k", "2", Wire::REQUEST_OUTCOME_NOT_RUN));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, claimOf("k", "3")));
    }

    // Guards against requests of a dead entry that stay in progress for ever, or that run twice.
    void silentEntryMakesClaimsUnknown()
    {
        ZoneState::ZoneState state;
        state.apply(claimOf("k", "1"));
        state.apply(claimOf("other", "1", "p", "entry-2"));
        Wire::ZoneCommand silent;
        silent.set_proposed_unix_ms(startMs);
        silent.mutable_entries_silent()->add_entries("entry-1");
        state.apply(silent);
        CPPUNIT_ASSERT_EQUAL(Wire::REQUEST_OUTCOME_UNKNOWN, state.requests().find("k")->outcome());
        CPPUNIT_ASSERT_EQUAL(Wire::REQUEST_STATE_CLAIMED, state.requests().find("other")->state());
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ALREADY_CLAIMED, codeOf(state, claimOf("k", "2")));
        // The entry was only cut off and now says what happened.
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, codeOf(state, finishOf("k", "1", Wire::REQUEST_OUTCOME_RUN)));
        CPPUNIT_ASSERT_EQUAL(Wire::REQUEST_OUTCOME_RUN, state.requests().find("k")->outcome());
    }

    // Guards against a resend within the day that finds no record, and against records that are kept for ever.
    void recordsAreKeptForADay()
    {
        ZoneState::ZoneState state;
        state.apply(claimOf("k", "1"));
        state.apply(claimOf("open", "1"));
        state.apply(finishOf("k", "1", Wire::REQUEST_OUTCOME_RUN));
        Wire::ZoneCommand expire;
        expire.mutable_expire_requests()->set_before_unix_ms(startMs + 10 * dayMs); // more than is allowed
        expire.set_proposed_unix_ms(startMs + dayMs);
        state.apply(expire);
        CPPUNIT_ASSERT(state.requests().find("k") != nullptr);
        expire.set_proposed_unix_ms(startMs + dayMs + 1);
        state.apply(expire);
        CPPUNIT_ASSERT(state.requests().find("k") == nullptr);
        CPPUNIT_ASSERT(state.requests().find("open") != nullptr);
    }

    // Guards against a configuration that reverts (I8) and against new work on draining workers (I6).
    void floorAndDrainsHold()
    {
        ZoneState::ZoneState state;
        Wire::ZoneCommand floor;
        floor.mutable_configuration_floor()->set_version(5);
        state.apply(floor);
        floor.mutable_configuration_floor()->set_version(4);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, floor));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.configurationFloor());

        Wire::ZoneCommand drain;
        drain.mutable_set_drain()->set_worker("w");
        drain.mutable_set_drain()->set_draining(true);
        state.apply(drain);
        Wire::ZoneCommand assign;
        addAssignment(assign, "a", 0, 1, "w", 1);
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, assign));
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_REFUSED, codeOf(state, Wire::ZoneCommand()));
    }

    // Guards against members that differ after a restore, and against any order of commands that breaks I1 or I5.
    void randomCommandsKeepTheRulesAndSnapshots()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RandomSource random(seed);
            ZoneState::ZoneState state;
            std::map<std::string, int> claimsHeld; // accepted claims less those finished as not run
            for (int step = 0; step < 600; ++step) {
                const std::string name(1, static_cast<char>('a' + random.below(5)));
                const std::string attempt = std::to_string(random.below(6));
                Wire::ZoneCommand command;
                switch (random.below(6)) {
                case 0:
                case 1:
                    addAssignment(command, name, 0, static_cast<std::uint64_t>(step), "w", 1 + step % 3);
                    addAssignment(command, name, 1, static_cast<std::uint64_t>(step), "v", 1 + step % 2);
                    break;
                case 2:
                    if (const auto *task = state.tasks().assignment({BookingId(name), 0}))
                        command = endOf(name, 0, task->incarnation, Wire::TASK_END_STOPPED);
                    break;
                case 3:
                    if (const auto *task = state.tasks().assignment({BookingId(name), 1}))
                        command = endOf(name, 1, task->incarnation, Wire::TASK_END_LOST);
                    break;
                case 4:
                    command = claimOf(name, attempt, "p", "entry-" + attempt);
                    break;
                default:
                    command
                        = finishOf(name, attempt,
                                   random.below(8) == 0 ? Wire::REQUEST_OUTCOME_RUN : Wire::REQUEST_OUTCOME_NOT_RUN);
                }
                const bool heldBefore = state.requests().find(name) != nullptr
                    && state.requests().find(name)->state() == Wire::REQUEST_STATE_CLAIMED
                    && state.requests().find(name)->attempt() == attempt;
                const Wire::ZoneResult result = state.apply(command);
                if (command.has_claim_request() && result.code() == Wire::ZONE_RESULT_ACCEPTED)
                    ++claimsHeld[name];
                if (command.has_finish_request() && heldBefore
                    && command.finish_request().outcome() == Wire::REQUEST_OUTCOME_NOT_RUN)
                    --claimsHeld[name];
                CPPUNIT_ASSERT(claimsHeld[name] >= 0 && claimsHeld[name] <= 1);
                for (const char *worker : {"w", "v"})
                    CPPUNIT_ASSERT(state.tasks().allocated(WorkerId(worker)).fitsIn({4, 0, 0}));
                if (step % 100 == 0) {
                    ZoneState::ZoneState copy;
                    CPPUNIT_ASSERT(copy.restore(state.snapshot()).has_value());
                    CPPUNIT_ASSERT(copy.snapshot() == state.snapshot());
                    state = std::move(copy); // the rest of the run uses what a restored member knows
                }
            }
        }
        ZoneState::ZoneState damaged;
        CPPUNIT_ASSERT(damaged.restore("\x01\xff not a snapshot").has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneStateTest);
