#include "jobs/advicecache.h"
#include "jobs/fleet.h"
#include "jobs/stepadvice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Pistachio;
using namespace Pistachio::Jobs;

namespace
{

constexpr TimePoint start{1h};
const StepName step{"0000000000000001", 0, 0};

MinionReport reportOf(const std::string &id, const std::string &service, std::uint64_t sequence)
{
    MinionReport report;
    report.incarnation = {id, 1};
    report.address = id + ":1";
    report.service = service;
    report.sequence = sequence;
    return report;
}

} // namespace

class AdviceCacheTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdviceCacheTest);
    CPPUNIT_TEST(removedMinionHasNoTicket);
    CPPUNIT_TEST(renewedTicketReplacesTheEarlierOne);
    CPPUNIT_TEST(minionIsListedUnderItsServiceOnly);
    CPPUNIT_TEST_SUITE_END();

    Fleet fleet_;
    AdviceCache cache_;

    void approve(const std::vector<ApprovedMinion> &approved)
    {
        cache_.recordRequest({step, {"a", "b", "c"}});
        cache_.recordAnswer(start, 1s, step, approved, fleet_);
    }

public:
    // Guards against a ticket that points to a minion which is gone.
    void removedMinionHasNoTicket()
    {
        for (const auto *id : {"a", "b"})
            fleet_.add(reportOf(id, "service", 1));
        approve({{"b", "tb"}, {"a", "ta"}});
        const auto &tickets = cache_.adviceFor(step).approved;
        CPPUNIT_ASSERT(tickets.at(0).minion == fleet_.find("a") && tickets.at(1).minion == fleet_.find("b"));
        CPPUNIT_ASSERT(cache_.adviceFor(step).denied.contains("c"));
        cache_.removeMinion("a");
        fleet_.remove("a");
        CPPUNIT_ASSERT(!cache_.ticket(step, "a", start));
        CPPUNIT_ASSERT_EQUAL(std::string("tb"), cache_.ticket(step, "b", start).value());
    }

    // Guards against starts with a ticket that has expired while a newer one is known.
    void renewedTicketReplacesTheEarlierOne()
    {
        approve({{"a", "first"}});
        cache_.invalidateTicket(step, "a");
        CPPUNIT_ASSERT(!cache_.ticket(step, "a", start));
        approve({{"a", "second"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache_.adviceFor(step).approved.size());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), cache_.ticket(step, "a", start).value());
    }

    // Guards against work for a service that the minion has left.
    void minionIsListedUnderItsServiceOnly()
    {
        for (const auto *id : {"b", "a"})
            fleet_.add(reportOf(id, "service", 1));
        std::vector<MinionIncarnation> replaced;
        fleet_.report(reportOf("b", "other", 2), replaced);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.minionsOf("service").size());
        CPPUNIT_ASSERT(fleet_.minionsOf("other").front() == fleet_.find("b"));
        fleet_.remove("b");
        CPPUNIT_ASSERT(fleet_.minionsOf("other").empty());
        CPPUNIT_ASSERT(fleet_.minionsOf("unknown").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceCacheTest);
