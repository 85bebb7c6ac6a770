#include "metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Pistachio::Metrics;

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(quantilesFollowTheSamples);
    CPPUNIT_TEST(expositionKeepsLabels);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against quantiles that are off by more than the estimate allows (2% of the range here).
    void quantilesFollowTheSamples()
    {
        Registry registry;
        for (int i = 0; i < 10000; ++i)
            registry.observe("wait_seconds", i * 7919 % 10000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, registry.quantile("wait_seconds", 0.5), 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9900, registry.quantile("wait_seconds", 0.99), 200);
        CPPUNIT_ASSERT_EQUAL(0.0, registry.quantile("absent", 0.5));
    }

    void expositionKeepsLabels()
    {
        Registry registry;
        registry.add("bytes_sent_total{zone=\"a\"}", 5);
        registry.add("bytes_sent_total{zone=\"a\"}", 6);
        registry.set("workers", 3);
        registry.observe("wait_seconds{kind=\"batch\"}", 2);
        const std::string text = registry.exposition();
        CPPUNIT_ASSERT(text.find("bytes_sent_total{zone=\"a\"} 11\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("workers 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_seconds{kind=\"batch\",quantile=\"0.5\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_seconds_count{kind=\"batch\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, registry.counter("bytes_sent_total{zone=\"a\"}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
