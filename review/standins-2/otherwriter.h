#pragma once

#include "cell.h"

namespace bed
{

int playOtherWriter(Record &record, bool hasTrouble);

} // namespace bed
