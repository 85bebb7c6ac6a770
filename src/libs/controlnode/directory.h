#pragma once

#include "core/identifier.h"
#include "transport/message.h"

#include <map>
#include <optional>
#include <vector>

namespace Pistachio::Cellstate
{
class CellState;
}

namespace Pistachio::Settings
{
struct ControlSettings;
}

namespace Pistachio::Controlnode
{

/// The addresses of the control instances: those of the settings and those that operators added.
class Directory
{
public:
    struct Instance {
        InstanceId id;
        ZoneId zone;
        Transport::Endpoint internal;
        Transport::Endpoint operators;
        Transport::Endpoint worker;
    };

    /// \param settings the instances at the start
    explicit Directory(const Settings::ControlSettings &settings);

    /// Takes over the instances of the cell state.
    void update(const Cellstate::CellState &state);

    /// \param id an instance, possibly empty, also one that was replaced but may still be a member of a group
    /// \return its addresses, or null.
    [[nodiscard]] const Instance *find(const InstanceId &id) const;

    /// \return the instances that were not replaced.
    [[nodiscard]] const std::map<InstanceId, Instance> &all() const { return instances_; }

    /// \param zone a zone
    /// \param attempt varies the choice
    /// \return an instance of the zone, or null.
    [[nodiscard]] const Instance *anyOf(const ZoneId &zone, std::size_t attempt) const;

private:
    void retire(const InstanceId &id);

    std::map<InstanceId, Instance> instances_;
    std::map<InstanceId, Instance> retired_;
};

} // namespace Pistachio::Controlnode
