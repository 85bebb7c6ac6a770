#pragma once

#include <cstddef>
#include <cstdint>

namespace Pistachio::Sheet
{

// The products of these bounds over one booking stay far below 2^63.
constexpr std::uint32_t maximumTasks = 10'000;
constexpr std::int64_t maximumMilliCores = 10'000'000;
constexpr std::int64_t maximumMemoryMebibytes = std::int64_t{1} << 26; // 64 TiB
constexpr std::int64_t maximumAccelerators = 1'000;
constexpr std::int64_t maximumRunSeconds = 366LL * 86'400;
constexpr std::int64_t maximumGraceSeconds = 3'600;
constexpr std::size_t maximumIdentifierBytes = 100;
constexpr std::size_t maximumCommandBytes = 4'096;

constexpr std::int64_t bytesPerMebibyte = std::int64_t{1} << 20;

} // namespace Pistachio::Sheet
