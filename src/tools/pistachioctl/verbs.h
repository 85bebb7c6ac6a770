#pragma once

#include "pistachioctl/invocation.h"

#include <string>
#include <vector>

namespace Pistachio::Pistachioctl
{

/// \param words the words of the command line that are not flags
/// \param invocation the flags and streams; its words are set by this function
/// \return the exit code.
ExitCode runVerb(const std::vector<std::string> &words, Invocation invocation);

/// \return the verbs, flags and exit codes.
std::string usageText();

} // namespace Pistachio::Pistachioctl
