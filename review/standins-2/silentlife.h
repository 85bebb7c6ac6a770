#pragma once

#include "cell.h"

namespace bed
{

int playSilentLife(Record &record, bool hasTrouble);

} // namespace bed
