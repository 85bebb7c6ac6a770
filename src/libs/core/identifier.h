#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Pistachio
{

/// A textual identifier that can't be mixed up with identifiers of another kind.
template<class Tag> class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : value_(std::move(value))
    {
    }
    explicit Identifier(std::string_view value)
        : value_(value)
    {
    }
    explicit Identifier(const char *value)
        : value_(value)
    {
    }

    [[nodiscard]] const std::string &value() const { return value_; }
    [[nodiscard]] bool isEmpty() const { return value_.empty(); }

    auto operator<=>(const Identifier &) const = default;

private:
    std::string value_;
};

using InstanceId = Identifier<struct InstanceTag>;
using ZoneId = Identifier<struct ZoneTag>;
using WorkerId = Identifier<struct WorkerTag>;
using MinionId = Identifier<struct MinionTag>;
using BookingId = Identifier<struct BookingTag>;
using TeamId = Identifier<struct TeamTag>;
using ServiceId = Identifier<struct ServiceTag>;
using GroupId = Identifier<struct GroupTag>;

} // namespace Pistachio

template<class Tag> struct std::hash<Pistachio::Identifier<Tag>> {
    std::size_t operator()(const Pistachio::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.value());
    }
};
