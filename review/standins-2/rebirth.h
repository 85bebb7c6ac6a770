#pragma once

#include "cell.h"

namespace bed
{

int playRebirth(Record &record, bool hasTrouble);

} // namespace bed
