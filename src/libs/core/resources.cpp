#include "core/resources.h"

namespace Pistachio
{

namespace
{
constexpr std::int64_t bytesPerMebibyte = 1LL << 20;
}

Resources &Resources::operator+=(const Resources &other)
{
    milliCores += other.milliCores;
    memoryBytes += other.memoryBytes;
    accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCores -= other.milliCores;
    memoryBytes -= other.memoryBytes;
    accelerators -= other.accelerators;
    return *this;
}

Resources Resources::times(std::int64_t count) const
{
    return {milliCores * count, memoryBytes * count, accelerators * count};
}

bool Resources::fitsIn(const Resources &available) const
{
    return missingFrom(available).empty();
}

bool Resources::isNegative() const
{
    return milliCores < 0 || memoryBytes < 0 || accelerators < 0;
}

std::string_view Resources::missingFrom(const Resources &available) const
{
    if (milliCores > available.milliCores)
        return "cores";
    if (memoryBytes > available.memoryBytes)
        return "memory";
    if (accelerators > available.accelerators)
        return "accelerators";
    return {};
}

std::string Resources::toString() const
{
    return std::to_string(milliCores) + "m cores, " + std::to_string(memoryBytes / bytesPerMebibyte) + " MiB, "
        + std::to_string(accelerators) + " accelerators";
}

} // namespace Pistachio
