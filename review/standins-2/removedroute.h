#pragma once

#include "cell.h"

namespace bed
{

int playRemovedRoute(Record &record, bool hasTrouble);

} // namespace bed
