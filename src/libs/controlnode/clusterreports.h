#pragma once

#include "controlnode/directory.h"
#include "controlnode/peercalls.h"
#include "operatorapi/clusterview.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pistachio::Wire
{
class BookingReport;
class ControlReport;
class ZoneReport;
} // namespace Pistachio::Wire

namespace Pistachio::Controlnode
{

/// What the control instances know, asked for when an operator's request arrives.
class ClusterReports final : public Operatorapi::ClusterView
{
public:
    /// What this instance knows itself.
    struct Local {
        std::function<void(Wire::ControlReport &)> fill;
        std::function<Operatorapi::StatusView()> status; ///< without zones
    };

    ClusterReports(InstanceId self, const Directory &directory, PeerCalls &calls, Local local);
    ~ClusterReports() override;

    /// Asks all instances, unless they were asked a moment ago.
    /// \param ready called once they have answered or did not in time, possibly before this function returns
    void refresh(TimePoint now, std::function<void()> ready);

    [[nodiscard]] std::vector<Operatorapi::TaskView> tasks(const BookingId &booking) const override;
    [[nodiscard]] Operatorapi::Explanation explain(const BookingId &booking) const override;
    [[nodiscard]] std::vector<Operatorapi::WorkerView> workers() const override;
    [[nodiscard]] std::vector<Operatorapi::InstanceView> instances() const override;
    [[nodiscard]] Operatorapi::StatusView status() const override;
    [[nodiscard]] std::vector<Operatorapi::ZoneCapacityView> capacities() const override;

private:
    struct Zone;
    struct Found {
        const Zone *zone = nullptr;
        const Wire::BookingReport *booking = nullptr;
    };

    void take(const InstanceId &from, Wire::ControlReport report);
    void finish();
    [[nodiscard]] Found find(const BookingId &booking) const;

    const InstanceId self_;
    const Directory &directory_;
    PeerCalls &calls_;
    Local local_;
    std::map<InstanceId, std::unique_ptr<Wire::ControlReport>> reports_; ///< of the last round
    std::map<ZoneId, std::unique_ptr<Zone>> zones_;
    std::vector<std::function<void()>> waiting_;
    std::size_t open_ = 0;
    std::uint64_t round_ = 0;
    TimePoint refreshed_;
};

} // namespace Pistachio::Controlnode
