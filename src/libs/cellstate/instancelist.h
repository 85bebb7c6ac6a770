#pragma once

#include "cellstate/instancerecord.h"
#include "core/identifier.h"
#include "core/result.h"

#include <map>
#include <span>

namespace Pistachio::Cellstate::Internal
{

/// The control instances that operators added. An id is never used again, since another identity's data may be left.
class InstanceList
{
public:
    /// \param instance the instance to add
    /// \param zones the configured zones
    /// \return success, also when the very same instance is already there; InvalidArgument, NotFound or Conflict.
    Result<void> add(const InstanceRecord &instance, std::span<const ZoneId> zones);

    [[nodiscard]] const std::map<InstanceId, InstanceRecord> &records() const { return records_; }
    void restore(std::map<InstanceId, InstanceRecord> records) { records_ = std::move(records); }

private:
    std::map<InstanceId, InstanceRecord> records_;
};

} // namespace Pistachio::Cellstate::Internal
