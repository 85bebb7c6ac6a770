#include "jobnode/connectionmetrics.h"
#include "jobnode/descriptorbudget.h"
#include "metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

class DescriptorBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DescriptorBudgetTest);
    CPPUNIT_TEST(sharesLeaveAReserve);
    CPPUNIT_TEST(leaderReachesAllMinions);
    CPPUNIT_TEST(gaugesShowEachShare);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against connections that take the descriptors of the log and of snapshots.
    void sharesLeaveAReserve()
    {
        for (const std::size_t limit : {256U, 1024U, 4096U, 4324U, 65536U}) {
            for (const auto &budget : {DescriptorBudget::forControl(limit), DescriptorBudget::forEntry(limit)}) {
                CPPUNIT_ASSERT(budget.calls > 0 && budget.served > 0 && budget.internal > 0 && budget.metrics > 0);
                CPPUNIT_ASSERT(budget.sum() + limit / 10 <= limit);
            }
        }
    }

    // A waiting renewal and an order at the same time to each of 1,100 minions.
    void leaderReachesAllMinions()
    {
        CPPUNIT_ASSERT(DescriptorBudget::forControl(4324).calls >= std::size_t{2} * 1100);
    }

    void gaugesShowEachShare()
    {
        Metrics::Registry metrics;
        const auto budget = DescriptorBudget::forControl(1000);
        exposeConnections(metrics, budget, {7, 2, 5, 3});
        const auto text = metrics.exposition();
        for (const std::string line : {"connections_open{share=\"calls\"} 7", "connections_limit{share=\"calls\"} 550",
                                       "connections_open{share=\"served\"} 5", "connections_open{share=\"internal\"} 3",
                                       "calls_waiting_for_connection 2"})
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DescriptorBudgetTest);
