#pragma once

#include "core/time.h"

#include <cstddef>

namespace Pistachio::Settings
{

class TableReader;

/// What clients may send to a listener, and how much of it a process keeps.
struct ClientLimits {
    std::size_t memoryMb = 0; ///< memory that the process may use; 0: not known
    std::size_t memoryPercent = 25; ///< the part of it for what all clients send and don't read
    std::size_t headerBytes = std::size_t{24} << 10; ///< the request line and the fields
    std::size_t trailerBytes = std::size_t{16} << 10;
    std::size_t chunkLineBytes = std::size_t{4} << 10; ///< the size of a chunk with its extensions
    std::size_t bodyBytes = 0; ///< 0: the default of the program
    std::size_t pipelinedBytes = std::size_t{64} << 10; ///< received at a time, later requests included
    Duration headerTimeout = std::chrono::seconds(4); ///< from the first byte of a request to the end of its header
    Duration receiveTimeout = std::chrono::seconds(10); ///< from the first byte of a request to its last
    Duration idleTimeout = std::chrono::seconds(30); ///< between two requests
    Duration sendTimeout = std::chrono::seconds(30); ///< for a client to read an answer

    /// \return the bytes for what all clients send and don't read.
    [[nodiscard]] std::size_t budgetBytes() const;

    /// \param limits the table of limits
    /// \return the values there, or the defaults.
    static ClientLimits read(TableReader &limits);
};

} // namespace Pistachio::Settings
