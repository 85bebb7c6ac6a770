#pragma once

#include "core/error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace Pistachio
{

/// A value or an Error. Reading the value of a failure is a broken invariant and stops the process.
template<class T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// \return the success of an operation without a value.
inline auto success()
{
    return boost::outcome_v2::success();
}

/// \param code the class of the failure
/// \param message what failed, with the values that matter
/// \return a failure that converts to any Result.
inline Error failure(ErrorCode code, std::string message)
{
    return {code, std::move(message)};
}

} // namespace Pistachio
