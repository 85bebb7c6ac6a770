#pragma once

#include "replication/replica.h"
#include "storage/logstore.h"

#include <memory>

namespace Pistachio::Storage
{

/// A store and what it held when it was opened.
struct LogStore::Opened {
    std::unique_ptr<LogStore> store;
    Replication::RestoredState state;
};

} // namespace Pistachio::Storage
