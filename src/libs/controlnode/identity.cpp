#include "controlnode/identity.h"

#include "settings/controlsettings.h"
#include "storage/durablefile.h"
#include "storage/filesystem.h"

#include <algorithm>
#include <string>

namespace Pistachio::Controlnode
{

namespace
{

constexpr const char *identityFile = "identity";

const Settings::ControlSettings::Group *groupWithInitialVote(const Settings::ControlSettings &settings)
{
    const auto found = std::ranges::find_if(settings.groups, [&](const auto &group) {
        return std::ranges::find(group.voters, settings.instance) != group.voters.end();
    });
    return found == settings.groups.end() ? nullptr : &*found;
}

} // namespace

Result<void> claimDataFolder(Storage::FileSystem &files, const Settings::ControlSettings &settings, StartMode mode)
{
    const std::string &folder = settings.dataFolder;
    const std::string &own = settings.instance.value();
    const auto stored = files.read(folder + '/' + identityFile);
    if (stored) {
        if (stored.value() == own)
            return success();
        return failure(ErrorCode::Conflict,
                       "the data folder " + folder + " belongs to instance '" + stored.value() + "', not to '" + own
                           + "'; correct 'instance' or 'data_folder' in the settings");
    }
    if (stored.error().code != ErrorCode::NotFound)
        return stored.error();
    const auto *voting = groupWithInitialVote(settings);
    if (mode == StartMode::Normal && voting) {
        return failure(
            ErrorCode::Conflict,
            "the data folder " + folder + " has no identity, but instance '" + own + "' is an initial voter of group '"
                + voting->name.value()
                + "'; start it with --bootstrap if this is the first start of the cell; if its disk was lost, "
                  "replace the instance with 'pistachioctl instance replace'");
    }
    return Storage::Internal::writeDurably(files, folder, identityFile, own);
}

} // namespace Pistachio::Controlnode
