#pragma once

#include "core/result.h"
#include "replication/types.h"

#include <string>
#include <string_view>

namespace Pistachio::Storage::Internal
{

constexpr std::string_view snapshotPrefix = "snapshot-";

/// \return the content of a snapshot's file.
std::string encodeSnapshot(const Replication::Snapshot &snapshot);

/// \param bytes the content of a snapshot's file
/// \return the snapshot, or Corrupt when anything of it is damaged.
Result<Replication::SnapshotPointer> decodeSnapshot(std::string_view bytes);

} // namespace Pistachio::Storage::Internal
