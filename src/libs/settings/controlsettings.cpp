#include "settings/controlsettings.h"

#include "settings/tablereader.h"

#include <algorithm>
#include <set>

namespace Pistachio::Settings
{

namespace
{

constexpr std::string_view cellGroup = "cell";
constexpr std::string_view zonePrefix = "zone:";

std::vector<InstanceId> readInstanceIds(TableReader &reader, std::string_view key)
{
    std::vector<InstanceId> ids;
    for (const std::string &id : reader.optionalStrings(key))
        ids.emplace_back(id);
    return ids;
}

ControlSettings::Instance readInstance(TableReader &reader)
{
    ControlSettings::Instance instance;
    instance.id = InstanceId(reader.requiredString("id"));
    instance.zone = ZoneId(reader.requiredString("zone"));
    instance.internal = reader.requiredAddress("internal");
    instance.operators = reader.requiredAddress("operator");
    instance.worker = reader.requiredAddress("worker");
    return instance;
}

ControlSettings::Group readGroup(TableReader &reader, const std::set<InstanceId> &known)
{
    ControlSettings::Group group;
    group.name = GroupId(reader.requiredString("name"));
    if (group.name.value() != cellGroup && !group.name.value().starts_with(zonePrefix))
        reader.addError("name", "must be 'cell' or 'zone:<availability zone>'");

    group.voters = readInstanceIds(reader, "voters");
    group.learners = readInstanceIds(reader, "learners");
    if (group.voters.size() % 2 == 0)
        reader.addError("voters", "must name an odd number of instances, so that each loss leaves a majority");

    std::set<InstanceId> members;
    const auto check = [&](std::string_view key, const std::vector<InstanceId> &ids) {
        for (const InstanceId &id : ids) {
            if (!known.contains(id))
                reader.addError(key, "names '" + id.value() + "', which has no [[instance_address]]");
            if (!members.insert(id).second)
                reader.addError(key, "names '" + id.value() + "' twice");
        }
    };
    check("voters", group.voters);
    check("learners", group.learners);
    return group;
}

void checkOwnInstance(TableReader &reader, const ControlSettings &settings)
{
    const auto own = std::find_if(settings.instances.begin(), settings.instances.end(),
                                  [&](const auto &entry) { return entry.id == settings.instance; });
    if (own == settings.instances.end())
        reader.addError("instance", "has no [[instance_address]] of its own");
    else if (own->zone != settings.zone)
        reader.addError("zone", "differs from the zone of the instance's [[instance_address]]");
}

} // namespace

Result<ControlSettings> ControlSettings::load(const std::string &path)
{
    auto opened = TableReader::open(path);
    if (!opened)
        return opened.assume_error();
    TableReader &reader = opened.assume_value();

    ControlSettings settings;
    settings.instance = InstanceId(reader.requiredString("instance"));
    settings.zone = ZoneId(reader.requiredString("zone"));
    settings.dataFolder = reader.requiredString("data_folder");
    settings.operatorTokenFile = reader.requiredString("operator_token_file");
    reader.table("listen", [&](TableReader &listen) {
        settings.listenInternal = listen.requiredAddress("internal");
        settings.listenOperator = listen.requiredAddress("operator");
        settings.listenWorker = listen.requiredAddress("worker");
    });
    reader.table("log", [&](TableReader &table) { settings.log = LogSettings::read(table); });

    std::set<InstanceId> known;
    reader.tables("instance_address", [&](TableReader &table) {
        settings.instances.push_back(readInstance(table));
        if (!known.insert(settings.instances.back().id).second)
            table.addError("id", "is used twice");
    });
    std::set<GroupId> groupNames;
    reader.tables("group", [&](TableReader &table) {
        settings.groups.push_back(readGroup(table, known));
        if (!groupNames.insert(settings.groups.back().name).second)
            table.addError("name", "is used twice");
    });
    checkOwnInstance(reader, settings);
    if (!groupNames.contains(GroupId(cellGroup)))
        reader.addError("group", "lacks the group 'cell'");

    if (auto finished = reader.finish(); !finished)
        return finished.assume_error();
    return settings;
}

} // namespace Pistachio::Settings
