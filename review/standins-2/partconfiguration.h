#pragma once

#include "cell.h"

namespace bed
{

int playPartConfiguration(Record &record, bool hasTrouble);

} // namespace bed
