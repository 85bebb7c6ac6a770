#include "jobnode/schedulersettings.h"
#include "settings/jobsettings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio;
using namespace Pistachio::Jobnode;

class SchedulerSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulerSettingsTest);
    CPPUNIT_TEST(leaseIsAtMostTheLongestOne);
    CPPUNIT_TEST(finishedJobsOutlastThePromise);
    CPPUNIT_TEST(startsEndWithTheTimeToLeave);
    CPPUNIT_TEST(startsEndBeforeAGangGivesUp);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leader that counts on leases which minions cut down.
    void leaseIsAtMostTheLongestOne()
    {
        Settings::JobSettings settings;
        CPPUNIT_ASSERT(schedulerSettings(settings).lease == 4s);
        settings.longestLease = 1500ms;
        CPPUNIT_ASSERT(schedulerSettings(settings).lease == 1500ms);
    }

    // Guards against 410 for a job whose state is still promised.
    void finishedJobsOutlastThePromise()
    {
        Settings::JobSettings settings;
        CPPUNIT_ASSERT(schedulerSettings(settings).finishedRetention == 150s);
        settings.finishedReadable = 10min;
        CPPUNIT_ASSERT(schedulerSettings(settings).finishedRetention > 10min);
    }

    // Guards against starts on a minion that has been leaving for longer than the cell may still use it.
    void startsEndWithTheTimeToLeave()
    {
        Settings::JobSettings settings;
        CPPUNIT_ASSERT(schedulerSettings(settings).startLimit == 2500ms);
        settings.minionDrain = 600ms;
        CPPUNIT_ASSERT(schedulerSettings(settings).startLimit == 600ms);
    }

    // Guards against members that start after the others have given up, and wait alone.
    void startsEndBeforeAGangGivesUp()
    {
        Settings::JobSettings settings;
        settings.gangTimeout = 500ms;
        CPPUNIT_ASSERT(schedulerSettings(settings).startLimit == 500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerSettingsTest);
