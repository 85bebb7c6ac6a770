#include "platform/callerprotocol.h"

#include <jobs.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Platform;

class CallerProtocolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerProtocolTest);
    CPPUNIT_TEST(jobIsDecodedInFull);
    CPPUNIT_TEST(badJobsAreRefused);
    CPPUNIT_TEST(doubtIsNotRefusal);
    CPPUNIT_TEST(statesAndQueues);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobIsDecodedInFull()
    {
        const auto spec = CallerProtocol::decodeJob(
            R"({"taskSpec":"text","jobSteps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,"dataRack":"r1",)"
            R"("maxPerServer":2,"speculative":true,"image":"i"},{"count":2,"gang":true,"sameRack":true,"dependsOn":[0],)"
            R"("checkpointing":true},{"count":1,"longRunning":true,"targetMs":40,"missAllowed":1},)"
            R"({"count":1,"fillCount":true}],"repeatCount":3,"startAtMs":1700000000000,"intervalMs":2000})");
        CPPUNIT_ASSERT(spec);
        const auto &job = spec.value();
        CPPUNIT_ASSERT_EQUAL(std::string("text"), job.payload());
        CPPUNIT_ASSERT_EQUAL(4, job.steps_size());
        CPPUNIT_ASSERT_EQUAL(4U, job.steps(0).tasks());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, job.steps(0).milli_cores());
        CPPUNIT_ASSERT_EQUAL(2U, job.steps(0).max_per_minion());
        CPPUNIT_ASSERT(job.steps(0).speculative());
        CPPUNIT_ASSERT(job.steps(1).gang() && job.steps(1).same_rack() && job.steps(1).checkpointing());
        CPPUNIT_ASSERT_EQUAL(0U, job.steps(1).depends_on(0));
        CPPUNIT_ASSERT(job.steps(2).long_running() && job.steps(2).limits_unavailable());
        CPPUNIT_ASSERT(job.steps(3).uses_spare_cores());
        CPPUNIT_ASSERT_EQUAL(3U, job.repeat_count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'000}, job.start_at_unix_ms());
    }

    // Nothing of these may be stored, and the answer has to say what is wrong.
    void badJobsAreRefused()
    {
        const std::string large(4001, 'x');
        for (const std::string &body :
             {std::string(), std::string("{\"taskSpec\":\"x\",\"jobSteps\":[{\"cou"), std::string("[]"),
              std::string(R"({"taskSpec":"x"})"), std::string(R"({"taskSpec":"x","jobSteps":[{"count":0}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":1000000}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":-1}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":1.5}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":"1"}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":1,"dependsOn":[0]}]})"),
              std::string(R"({"taskSpec":"x","jobSteps":[{"count":1,"dependsOn":[7]}]})"),
              std::string(R"({"taskSpec":7,"jobSteps":[{"count":1}]})"),
              R"({"taskSpec":")" + large + R"(","jobSteps":[{"count":1}]})"}) {
            const auto spec = CallerProtocol::decodeJob(body);
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 60), !spec);
            CPPUNIT_ASSERT(!spec.error().message.empty());
        }
    }

    // 503 states that nothing was accepted; a job that may have been accepted must not get it.
    void doubtIsNotRefusal()
    {
        Wire::JobCall call;
        call.mutable_submission();
        Wire::JobReply reply;
        reply.set_verdict(Wire::JOB_VERDICT_UNKNOWN);
        CPPUNIT_ASSERT_EQUAL(504, CallerProtocol::encodeReply(call, reply).status);
        reply.set_verdict(Wire::JOB_VERDICT_UNAVAILABLE);
        const auto refusal = CallerProtocol::encodeReply(call, reply);
        CPPUNIT_ASSERT_EQUAL(503, refusal.status);
        CPPUNIT_ASSERT(!Transport::headerValue(refusal.headers, "Retry-After").empty());
    }

    void statesAndQueues()
    {
        const Wire::JobCall read;
        Wire::JobReply reply;
        reply.set_verdict(Wire::JOB_VERDICT_ACCEPTED);
        reply.set_state(Wire::JOB_STATE_COMPLETED);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), CallerProtocol::encodeReply(read, reply).body);
        reply.set_is_queue(true);
        reply.set_pending(12);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"pending":12})"), CallerProtocol::encodeReply(read, reply).body);
        reply.set_verdict(Wire::JOB_VERDICT_NO_SUCH_JOB);
        CPPUNIT_ASSERT_EQUAL(410, CallerProtocol::encodeReply(read, reply).status);
        reply.set_verdict(Wire::JOB_VERDICT_NO_SUCH_QUEUE);
        CPPUNIT_ASSERT_EQUAL(404, CallerProtocol::encodeReply(read, reply).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerProtocolTest);
