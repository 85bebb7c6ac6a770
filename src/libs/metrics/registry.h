#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Pistachio::Metrics
{

/// The counters, gauges and distributions of one process, safe to use from several threads. Names follow the text
/// exposition format: lower case with underscores, the unit as a suffix, labels as `name{zone="a"}`.
class Registry
{
public:
    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /// \param name the counter, created at zero when it is new
    /// \param amount how much to add
    void add(std::string_view name, std::uint64_t amount = 1);
    /// \param name the gauge
    /// \param value its new value
    void set(std::string_view name, double value);
    /// \param name the distribution, such as "placement_wait_seconds"
    /// \param value one sample
    void observe(std::string_view name, double value);

    /// \param name a counter
    /// \return its value, zero when it was never added to.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// \param name a distribution
    /// \param fraction the quantile, one of 0.5, 0.99 and 0.999
    /// \return the estimated quantile, zero without samples.
    [[nodiscard]] double quantile(std::string_view name, double fraction) const;

    /// \return all metrics in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::Metrics
