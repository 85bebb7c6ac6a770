#pragma once

#include "core/result.h"

namespace Pistachio::Settings
{
struct ControlSettings;
}

namespace Pistachio::Storage
{
class FileSystem;
}

namespace Pistachio::Controlnode
{

/// How a control process may treat a data folder without an identity.
enum class StartMode {
    Normal, ///< only an instance that is no initial voter may start on an empty folder: it joins and is told everything
    Bootstrap, ///< the first start of the cell
};

/// Checks that the data folder belongs to the instance, and writes its identity at the first start. A voter that lost
/// its disk has forgotten its votes and what it acknowledged; under its old name it could elect a second leader in a
/// term or a leader that lacks accepted changes. \param files holds the data folder, which exists \param settings the
/// instance, its data folder and the initial voters of its groups \param mode whether this is the first start of the
/// cell \return Conflict with the next step for the operator, or the failure to read or write.
Result<void> claimDataFolder(Storage::FileSystem &files, const Settings::ControlSettings &settings, StartMode mode);

} // namespace Pistachio::Controlnode
