#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace Pistachio::Storage
{

class FileSystem;

namespace Internal
{

/// The ending of files that are being written; they are removed at the next start.
constexpr std::string_view unfinishedSuffix = ".tmp";

/// Writes a file beside, syncs and renames it, and syncs the folder: it is there whole or not at all.
/// \param folder the folder of the file
/// \param name the file's final name, replaced when it exists
/// \param bytes the whole content
/// \return Capacity when the disk is full, with nothing changed; Io for other failures.
Result<void> writeDurably(FileSystem &fileSystem, const std::string &folder, const std::string &name,
                          std::string_view bytes);

/// \param prefix what precedes the number
/// \return a file name whose order by name is that by number.
std::string numberedName(std::string_view prefix, std::uint64_t number);

/// \return the number in a name from numberedName(), or 0.
std::uint64_t numberInName(std::string_view prefix, std::string_view name);

} // namespace Internal
} // namespace Pistachio::Storage
