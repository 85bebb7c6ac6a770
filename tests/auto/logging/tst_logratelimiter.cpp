#include "logging/logratelimiter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio::Logging;
using namespace std::chrono_literals;

class LogRateLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogRateLimiterTest);
    CPPUNIT_TEST(eachEventHasItsOwnRate);
    CPPUNIT_TEST(suppressedLinesAreToldOnceInTheNextSecond);
    CPPUNIT_TEST_SUITE_END();

    const LogRateLimiter::TimePoint start_{1h};

    static int admitted(LogRateLimiter &limiter, LogRateLimiter::TimePoint now, std::string_view event, int lines)
    {
        int count = 0;
        for (int i = 0; i < lines; ++i)
            count += limiter.admit(now, event) ? 1 : 0;
        return count;
    }

public:
    void eachEventHasItsOwnRate()
    {
        LogRateLimiter limiter(5);
        CPPUNIT_ASSERT_EQUAL(5, admitted(limiter, start_, "a", 100));
        CPPUNIT_ASSERT_EQUAL(3, admitted(limiter, start_ + 900ms, "b", 3));
        CPPUNIT_ASSERT_EQUAL(0, admitted(limiter, start_ + 999ms, "a", 1));
        CPPUNIT_ASSERT_EQUAL(5, admitted(limiter, start_ + 1s, "a", 6));
    }

    void suppressedLinesAreToldOnceInTheNextSecond()
    {
        LogRateLimiter limiter(5);
        admitted(limiter, start_, "a", 12);
        admitted(limiter, start_, "b", 5);
        CPPUNIT_ASSERT(limiter.takeSuppressed(start_ + 500ms).empty());
        const auto suppressed = limiter.takeSuppressed(start_ + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suppressed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), suppressed.front().event);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, suppressed.front().count);
        CPPUNIT_ASSERT(limiter.takeSuppressed(start_ + 2s).empty());
        admitted(limiter, start_ + 2s, "a", 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.takeAllSuppressed().size());
        CPPUNIT_ASSERT(limiter.takeAllSuppressed().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimiterTest);
