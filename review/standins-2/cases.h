#pragma once

#include "cell.h"

namespace bed
{

/// \return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
using Case = int (*)(Record &record, bool hasTrouble);

const std::map<std::string, Case> &cases();

} // namespace bed
