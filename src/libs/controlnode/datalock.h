#pragma once

#include "core/result.h"

#include <string>

namespace Pistachio::Controlnode
{

/// Keeps two processes from using one data directory at the same time.
class DataLock
{
public:
    DataLock() = default;
    ~DataLock();
    DataLock(const DataLock &) = delete;
    DataLock &operator=(const DataLock &) = delete;

    /// Creates the directory when it is missing.
    /// \return Conflict when another process holds the lock, Io for other failures.
    Result<void> take(const std::string &folder);

private:
    int descriptor_ = -1;
};

} // namespace Pistachio::Controlnode
