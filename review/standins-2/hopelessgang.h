#pragma once

#include "cell.h"

namespace bed
{

int playHopelessGang(Record &record, bool hasTrouble);

} // namespace bed
