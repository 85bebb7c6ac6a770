#pragma once

#include "cell.h"

namespace bed
{

int playStarvation(Record &record, bool hasTrouble);

} // namespace bed
