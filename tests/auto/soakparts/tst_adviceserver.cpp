#include "platform/adviceserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Pistachio;
using Pistachio::Standin::AdviceServer;

/// The advice that the soak's jobs get: some minions are denied, and each step can run all the same.
class AdviceServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdviceServerTest);
    CPPUNIT_TEST(stepIsNotDeniedEverywhere);
    CPPUNIT_TEST(aboutAQuarterIsDenied);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t fewest = 2;
    static constexpr std::size_t steps = 200'000;

public:
    // Guards against a step that no minion may run, so that its job can never be over.
    void stepIsNotDeniedEverywhere()
    {
        CPPUNIT_ASSERT(server_.allowedMinions("33957e74cba404a6.0.0").size() >= fewest);
        for (std::size_t number = 0; number < steps; ++number)
            CPPUNIT_ASSERT(server_.allowedMinions(std::to_string(number) + ".0.0").size() >= fewest);
    }

    void aboutAQuarterIsDenied()
    {
        std::size_t allowed = 0;
        for (std::size_t number = 0; number < steps; ++number)
            allowed += server_.allowedMinions(std::to_string(number) + ".0.0").size();
        const auto share = static_cast<double>(allowed) / static_cast<double>(steps * minions_.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, share, 0.01);
    }

private:
    const std::vector<std::string> minions_{"minion-0", "minion-1", "minion-2", "minion-3",
                                            "minion-4", "minion-5", "minion-6", "minion-7"};
    Transport::EventLoop loop_;
    const AdviceServer server_{loop_, 1s, minions_, fewest};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceServerTest);
