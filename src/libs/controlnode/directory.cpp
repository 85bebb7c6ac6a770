#include "controlnode/directory.h"

#include "cellstate/cellstate.h"
#include "settings/controlsettings.h"

namespace Pistachio::Controlnode
{

namespace
{

Transport::Endpoint endpoint(const Settings::Address &address)
{
    return {address.ip, address.port};
}

Transport::Endpoint endpoint(const std::string &text)
{
    const auto parsed = Transport::Endpoint::parse(text);
    return parsed ? parsed.value() : Transport::Endpoint();
}

} // namespace

Directory::Directory(const Settings::ControlSettings &settings)
{
    for (const auto &instance : settings.instances) {
        instances_[instance.id] = {instance.id, instance.zone, endpoint(instance.internal),
                                   endpoint(instance.operators), endpoint(instance.worker)};
    }
}

void Directory::update(const Cellstate::CellState &state)
{
    for (const auto &[id, record] : state.instances()) {
        instances_[id] = {id, record.zone, endpoint(record.internalAddress), endpoint(record.operatorAddress),
                          endpoint(record.workerAddress)};
    }
    for (const auto &[id, record] : state.instances()) {
        if (record.retired)
            retire(id);
        if (!record.replaces.isEmpty())
            retire(record.replaces);
    }
}

void Directory::retire(const InstanceId &id)
{
    const auto found = instances_.find(id);
    if (found == instances_.end())
        return;
    retired_[id] = found->second;
    instances_.erase(found);
}

const Directory::Instance *Directory::find(const InstanceId &id) const
{
    for (const auto *instances : {&instances_, &retired_}) {
        const auto found = instances->find(id);
        if (found != instances->end())
            return &found->second;
    }
    return nullptr;
}

const Directory::Instance *Directory::anyOf(const ZoneId &zone, std::size_t attempt) const
{
    std::vector<const Instance *> candidates;
    for (const auto &[id, instance] : instances_) {
        if (instance.zone == zone)
            candidates.push_back(&instance);
    }
    return candidates.empty() ? nullptr : candidates[attempt % candidates.size()];
}

} // namespace Pistachio::Controlnode
