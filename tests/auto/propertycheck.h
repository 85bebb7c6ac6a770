#pragma once

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <sstream>

/// Checks a RapidCheck property with a fixed seed, so that every run gives the same verdict.
template<class Testable> void checkProperty(Testable &&testable, int cases)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), rc::detail::TestMetadata(), params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    CPPUNIT_ASSERT_MESSAGE(message.str(), result.template is<rc::detail::SuccessResult>());
}
