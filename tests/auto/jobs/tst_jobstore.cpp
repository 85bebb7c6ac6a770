#include "jobs/jobstore.h"
#include "jobs/jobvalidation.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

const std::string jobId = "00000000000000aa";

Wire::JobConfiguration configuration(std::uint64_t version, const std::string &prefix)
{
    Wire::JobConfiguration result;
    result.set_version(version);
    result.add_services()->set_name("service");
    auto &queue = *result.add_queues();
    queue.set_name("queue");
    queue.set_host("host");
    queue.set_path_prefix(prefix);
    queue.set_service("service");
    queue.set_max_attempts(2);
    queue.set_timeout_ms(3000);
    return result;
}

class Fixture
{
public:
    Fixture()
    {
        Wire::JobCommand command;
        *command.mutable_configuration() = configuration(5, "/q/");
        apply(command);
    }

    Wire::JobReply apply(const Wire::JobCommand &command)
    {
        Wire::JobReply reply;
        reply.ParseFromString(store.apply(++index, command.SerializeAsString()));
        return reply;
    }

    void submit(const Wire::JobSpec &spec)
    {
        Wire::JobCommand command;
        command.mutable_submission()->set_id(jobId);
        command.mutable_submission()->set_queue("host/q/");
        *command.mutable_submission()->mutable_spec() = spec;
        apply(command);
    }

    void assign(std::uint32_t step, std::uint32_t number, std::uint64_t run)
    {
        Wire::JobCommand command;
        auto &assignment = *command.add_assignments();
        fill(*assignment.mutable_task(), {{jobId, 0, step}, number});
        assignment.set_run(run);
        assignment.set_minion("m");
        apply(command);
    }

    void end(std::uint32_t step, std::uint32_t number, std::uint64_t run, Wire::JobRunEnd runEnd)
    {
        Wire::JobCommand command;
        auto &item = *command.add_ends();
        fill(*item.mutable_task(), {{jobId, 0, step}, number});
        item.set_run(run);
        item.set_how(runEnd);
        apply(command);
    }

    void confirm(std::uint32_t step, std::uint32_t number, std::uint64_t run)
    {
        Wire::JobCommand command;
        auto &confirmation = *command.add_confirmed_runs();
        fill(*confirmation.mutable_task(), {{jobId, 0, step}, number});
        confirmation.set_run(run);
        apply(command);
    }

    [[nodiscard]] const Job &job() const { return *store.job(jobId); }

    JobStore store;
    std::uint64_t index = 0;
};

Wire::JobSpec spec(std::initializer_list<std::uint32_t> tasksOfSteps)
{
    Wire::JobSpec result;
    for (const auto tasks : tasksOfSteps) {
        auto &step = *result.add_steps();
        step.set_tasks(tasks);
        if (result.steps_size() > 1)
            step.add_depends_on(static_cast<std::uint32_t>(result.steps_size()) - 2);
    }
    return result;
}

} // namespace

class JobStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobStoreTest);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(stepsWaitForTheirDependencies);
    CPPUNIT_TEST(runNumbersMustIncrease);
    CPPUNIT_TEST(jobFailsAfterMaxAttempts);
    CPPUNIT_TEST(endOfOlderRunCountsOnlyIfDone);
    CPPUNIT_TEST(gangIsDoneWhenOneMemberIsDone);
    CPPUNIT_TEST(failedGangRunCountsOnce);
    CPPUNIT_TEST(endedLongRunningTaskWaitsAgain);
    CPPUNIT_TEST(earlierIncarnationDoesNotReplaceLater);
    CPPUNIT_TEST(resubmittedJobIsKept);
    CPPUNIT_TEST(unstartedRunLeavesJobPending);
    CPPUNIT_TEST(confirmationIsOfOneRun);
    CPPUNIT_TEST(snapshotRestoresAllState);
    CPPUNIT_TEST(invalidJobsAreRejected);
    CPPUNIT_TEST(invalidConfigurationsAreRejected);
    CPPUNIT_TEST(oddEntryEndsTheReplay);
    CPPUNIT_TEST_SUITE_END();

public:
    // What an earlier version stored is applied again at each start.
    void oddEntryEndsTheReplay()
    {
        Fixture fixture;
        Wire::JobSpec unknownStep;
        unknownStep.add_steps()->set_tasks(1);
        unknownStep.mutable_steps(0)->add_depends_on(7);
        Wire::JobSpec tooMany;
        tooMany.add_steps()->set_tasks(4'000'000'000U);
        Wire::JobSpec tooLarge;
        tooLarge.set_repeat_count(2);
        tooLarge.set_start_at_unix_ms(INT64_MAX);
        tooLarge.set_interval_ms(INT64_MAX);
        tooLarge.add_steps()->set_tasks(1);
        tooLarge.mutable_steps(0)->set_milli_cores(INT64_MAX);
        tooLarge.mutable_steps(0)->set_estimate_ms(INT64_MIN);
        for (const auto &spec : {unknownStep, tooMany}) {
            fixture.submit(spec);
            CPPUNIT_ASSERT(!fixture.store.job(jobId));
        }
        fixture.submit(tooLarge);
        const auto &job = *fixture.store.job(jobId);
        CPPUNIT_ASSERT(job.dueUnixMs(1) > job.dueUnixMs(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{INT32_MAX}, job.spec(0).milli_cores());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, job.spec(0).estimate_ms());
        Wire::JobBookImage image;
        CPPUNIT_ASSERT(image.ParseFromString(fixture.store.snapshot()));
        auto &shorter = *image.add_jobs();
        shorter.mutable_submission()->set_id("b");
        shorter.mutable_submission()->mutable_spec()->add_steps()->set_tasks(3);
        auto &odd = *image.add_jobs();
        odd.mutable_submission()->set_id("c");
        *odd.mutable_submission()->mutable_spec() = tooMany;
        JobStore restored;
        CPPUNIT_ASSERT(restored.restore(image.SerializeAsString()));
        CPPUNIT_ASSERT(restored.job(jobId));
        CPPUNIT_ASSERT(restored.job("b"));
        CPPUNIT_ASSERT(!restored.job("c"));
    }

    // A resent or delayed command must not replace a newer configuration.
    void olderConfigurationIsIgnored()
    {
        Fixture fixture;
        for (const std::uint64_t version : {5U, 4U}) {
            Wire::JobCommand command;
            *command.mutable_configuration() = configuration(version, "/other/");
            CPPUNIT_ASSERT_EQUAL(int{Wire::JOB_VERDICT_ACCEPTED}, int{fixture.apply(command).verdict()});
            CPPUNIT_ASSERT(fixture.store.queueAt("host", "/q/x"));
            CPPUNIT_ASSERT(!fixture.store.queueAt("host", "/other/x"));
        }
    }

    // A step that starts before its dependencies are done has no input.
    void stepsWaitForTheirDependencies()
    {
        Fixture fixture;
        fixture.submit(spec({2, 1}));
        fixture.assign(1, 0, 1);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 1}, 0})->state == TaskState::Waiting);
        for (std::uint32_t index = 0; index < 2; ++index) {
            fixture.assign(0, index, 1);
            fixture.end(0, index, 1, Wire::JOB_RUN_END_DONE);
        }
        fixture.assign(1, 0, 1);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 1}, 0})->state == TaskState::Assigned);
        fixture.end(1, 0, 1, Wire::JOB_RUN_END_DONE);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Completed);
    }

    // Minions reject a run number that is not above the last one, so the task would never start again.
    void runNumbersMustIncrease()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 3);
        fixture.end(0, 0, 3, Wire::JOB_RUN_END_LOST);
        fixture.assign(0, 0, 3);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->state == TaskState::Waiting);
        fixture.assign(0, 0, 4);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->state == TaskState::Assigned);
    }

    // Only failures count as attempts; a lost run is not the fault of the task.
    void jobFailsAfterMaxAttempts()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 1);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_LOST);
        fixture.assign(0, 0, 2);
        fixture.end(0, 0, 2, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Active);
        fixture.assign(0, 0, 3);
        fixture.end(0, 0, 3, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Failed);
    }

    // The late end of a lost run must not release a task that runs elsewhere; if it is done, its result must count.
    void endOfOlderRunCountsOnlyIfDone()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 1);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_LOST);
        fixture.assign(0, 0, 2);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->state == TaskState::Assigned);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_DONE);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Completed);
    }

    // The other members of a finished gang must not stay assigned.
    void gangIsDoneWhenOneMemberIsDone()
    {
        Fixture fixture;
        auto gang = spec({3});
        gang.mutable_steps(0)->set_gang(true);
        fixture.submit(gang);
        for (std::uint32_t index = 0; index < 3; ++index)
            fixture.assign(0, index, 1);
        fixture.end(0, 1, 1, Wire::JOB_RUN_END_DONE);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Completed);
        CPPUNIT_ASSERT(!fixture.job().hasAssignedTasks());
    }

    // Several members that fail in one run are one failed attempt, not several.
    void failedGangRunCountsOnce()
    {
        Fixture fixture;
        auto gang = spec({2});
        gang.mutable_steps(0)->set_gang(true);
        fixture.submit(gang);
        for (std::uint32_t index = 0; index < 2; ++index)
            fixture.assign(0, index, 1);
        for (std::uint32_t index = 0; index < 2; ++index)
            fixture.end(0, index, 1, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Active);
    }

    // A long-running task must neither complete nor fail its job when a run ends.
    void endedLongRunningTaskWaitsAgain()
    {
        Fixture fixture;
        auto service = spec({1});
        service.mutable_steps(0)->set_long_running(true);
        fixture.submit(service);
        for (std::uint64_t run = 1; run < 9; ++run) {
            fixture.assign(0, 0, run);
            fixture.end(0, 0, run, run % 2 == 0 ? Wire::JOB_RUN_END_DONE : Wire::JOB_RUN_END_FAILED);
            CPPUNIT_ASSERT(fixture.job().phase() == JobPhase::Active);
            CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->state == TaskState::Waiting);
        }
    }

    // A delayed record of an earlier incarnation would end the runs of the later one in the store while they go on.
    void earlierIncarnationDoesNotReplaceLater()
    {
        Fixture fixture;
        for (const std::int64_t born : {2000, 1000}) {
            Wire::JobCommand command;
            auto &minion = *command.add_minions();
            minion.set_id("m");
            minion.set_born_unix_ms(born);
            fixture.apply(command);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, std::int64_t{fixture.store.minions().at("m").born_unix_ms()});
    }

    // A resent submission must not replace the job and lose its assignments.
    void resubmittedJobIsKept()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 1);
        fixture.submit(spec({4}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.store.jobs().size());
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->state == TaskState::Assigned);
    }

    // A job whose only start was refused has not begun and must be counted as pending.
    void unstartedRunLeavesJobPending()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 1);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_NOT_STARTED);
        CPPUNIT_ASSERT(!fixture.job().hasBegun());
        fixture.assign(0, 0, 2);
        fixture.end(0, 0, 2, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(fixture.job().hasBegun());
    }

    // A confirmation that outlasts its run would have a new leader start the next one twice.
    void confirmationIsOfOneRun()
    {
        Fixture fixture;
        fixture.submit(spec({1}));
        fixture.assign(0, 0, 2);
        fixture.confirm(0, 0, 1);
        fixture.confirm(0, 1, 2);
        CPPUNIT_ASSERT(!fixture.job().task({{jobId, 0, 0}, 0})->isRunConfirmed);
        fixture.confirm(0, 0, 2);
        CPPUNIT_ASSERT(fixture.job().task({{jobId, 0, 0}, 0})->isRunConfirmed);
        fixture.end(0, 0, 2, Wire::JOB_RUN_END_LOST);
        fixture.assign(0, 0, 3);
        CPPUNIT_ASSERT(!fixture.job().task({{jobId, 0, 0}, 0})->isRunConfirmed);
    }

    // Failure counts and assignments missing from a snapshot would be lost at the next restart.
    void snapshotRestoresAllState()
    {
        Fixture fixture;
        fixture.submit(spec({2, 1}));
        fixture.assign(0, 0, 1);
        fixture.end(0, 0, 1, Wire::JOB_RUN_END_FAILED);
        fixture.assign(0, 1, 1);
        fixture.confirm(0, 1, 1);
        Fixture other;
        CPPUNIT_ASSERT(other.store.restore(fixture.store.snapshot()));
        CPPUNIT_ASSERT_EQUAL(1U, other.job().task({{jobId, 0, 0}, 0})->failures);
        CPPUNIT_ASSERT(other.job().task({{jobId, 0, 0}, 1})->state == TaskState::Assigned);
        CPPUNIT_ASSERT(other.job().task({{jobId, 0, 0}, 1})->isRunConfirmed);
        CPPUNIT_ASSERT(other.job().hasAssignedTasks());
        other.end(0, 1, 1, Wire::JOB_RUN_END_DONE);
        other.assign(0, 0, 2);
        other.end(0, 0, 2, Wire::JOB_RUN_END_FAILED);
        CPPUNIT_ASSERT(other.job().phase() == JobPhase::Failed);
        CPPUNIT_ASSERT(!other.store.restore("not a snapshot \xff"));
    }

    // Jobs without tasks, with cyclic dependencies, negative amounts or excessive size must not enter the store.
    void invalidJobsAreRejected()
    {
        CPPUNIT_ASSERT(checkJob(spec({1, 2})));
        CPPUNIT_ASSERT(!checkJob(spec({})));
        CPPUNIT_ASSERT(!checkJob(spec({0})));
        CPPUNIT_ASSERT(!checkJob(spec({1'000'000})));
        auto cycle = spec({1});
        cycle.mutable_steps(0)->add_depends_on(0);
        CPPUNIT_ASSERT(!checkJob(cycle));
        auto large = spec({1});
        large.set_payload(std::string(4001, 'x'));
        CPPUNIT_ASSERT(!checkJob(large));
        auto negative = spec({1});
        negative.mutable_steps(0)->set_milli_cores(-1);
        CPPUNIT_ASSERT(!checkJob(negative));
    }

    // Unknown services, duplicate queues and zero timeouts must not come into force.
    void invalidConfigurationsAreRejected()
    {
        CPPUNIT_ASSERT(checkConfiguration(configuration(1, "/q/")));
        auto unknown = configuration(1, "/q/");
        unknown.mutable_queues(0)->set_service("nobody");
        CPPUNIT_ASSERT(!checkConfiguration(unknown));
        auto twice = configuration(1, "/q/");
        *twice.add_queues() = twice.queues(0);
        CPPUNIT_ASSERT(!checkConfiguration(twice));
        auto timeless = configuration(1, "/q/");
        timeless.mutable_queues(0)->set_timeout_ms(0);
        CPPUNIT_ASSERT(!checkConfiguration(timeless));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStoreTest);
