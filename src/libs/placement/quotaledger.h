#pragma once

#include "core/identifier.h"
#include "core/quotaledger.h"
#include "core/resources.h"

namespace Pistachio::Placement
{

/// Tracks the resources that each team uses against its quota.
using QuotaLedger = Pistachio::QuotaLedger<TeamId, Resources>;

} // namespace Pistachio::Placement
