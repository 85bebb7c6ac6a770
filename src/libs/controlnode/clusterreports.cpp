#include "controlnode/clusterreports.h"

#include "sheet/wirebooking.h"

#include <control.pb.h>

#include <unordered_map>
#include <utility>

namespace Pistachio::Controlnode
{

namespace
{
constexpr Duration freshFor = 300ms; ///< an operator's requests in a row share one round
constexpr Duration reportLimit = 700ms; ///< an instance that is cut off must not delay operators for longer
} // namespace

struct ClusterReports::Zone {
    Wire::ZoneReport report;
    std::unordered_map<std::string, int> bookings;
    std::uint64_t round = 0;
};

ClusterReports::ClusterReports(InstanceId self, const Directory &directory, PeerCalls &calls, Local local)
    : self_(std::move(self))
    , directory_(directory)
    , calls_(calls)
    , local_(std::move(local))
{
}

ClusterReports::~ClusterReports() = default;

void ClusterReports::refresh(TimePoint now, std::function<void()> ready)
{
    if (open_ == 0 && round_ > 0 && now - refreshed_ < freshFor) {
        ready();
        return;
    }
    waiting_.push_back(std::move(ready));
    if (open_ > 0)
        return;
    ++round_;
    refreshed_ = now;
    reports_.clear();
    Wire::ControlReport own;
    local_.fill(own);
    take(self_, std::move(own));
    open_ = 1; // Holds the round open while the calls are made, since one may fail at once.
    for (const auto &[id, instance] : directory_.all()) {
        if (id == self_)
            continue;
        ++open_;
        calls_.call(now, instance.internal, {"POST", "/control/view", {}, {}}, reportLimit,
                    [this, from = id, round = round_](const Transport::CallResult &result) {
                        Wire::ControlReport report;
                        if (round != round_)
                            return;
                        if (result && result.value().status == 200 && report.ParseFromString(result.value().body))
                            take(from, std::move(report));
                        finish();
                    });
    }
    finish();
}

void ClusterReports::finish()
{
    if (--open_ > 0)
        return;
    const auto waiting = std::exchange(waiting_, {});
    for (const auto &ready : waiting)
        ready();
}

void ClusterReports::take(const InstanceId &from, Wire::ControlReport report)
{
    for (auto &zone : *report.mutable_zones()) {
        auto &known = zones_[ZoneId(zone.zone())];
        known = std::make_unique<Zone>();
        known->report = std::move(zone);
        known->round = round_;
        for (int i = 0; i < known->report.bookings_size(); ++i)
            known->bookings[known->report.bookings(i).booking()] = i;
    }
    reports_[from] = std::make_unique<Wire::ControlReport>(std::move(report));
}

ClusterReports::Found ClusterReports::find(const BookingId &booking) const
{
    for (const auto &[id, zone] : zones_) {
        const auto found = zone->bookings.find(booking.value());
        if (found != zone->bookings.end())
            return {zone.get(), &zone->report.bookings(found->second)};
    }
    return {};
}

std::vector<Operatorapi::TaskView> ClusterReports::tasks(const BookingId &booking) const
{
    std::vector<Operatorapi::TaskView> result;
    const auto found = find(booking);
    if (!found.booking)
        return result;
    for (const auto &task : found.booking->tasks()) {
        result.push_back(
            {{booking, task.task().index()}, task.incarnation(), task.state(), WorkerId(task.worker()), task.reason()});
    }
    return result;
}

Operatorapi::Explanation ClusterReports::explain(const BookingId &booking) const
{
    const auto found = find(booking);
    if (!found.booking)
        return {"its home zone has not reported it", {}, true};
    Operatorapi::Explanation explanation;
    explanation.summary = found.booking->state();
    if (!found.booking->reason().empty())
        explanation.summary += ": " + found.booking->reason();
    explanation.reasons.assign(found.booking->details().begin(), found.booking->details().end());
    explanation.isStale = found.zone->round != round_;
    return explanation;
}

std::vector<Operatorapi::WorkerView> ClusterReports::workers() const
{
    std::vector<Operatorapi::WorkerView> result;
    for (const auto &[id, zone] : zones_) {
        const bool stale = zone->round != round_;
        for (const auto &worker : zone->report.workers()) {
            result.push_back({WorkerId(worker.worker()), id, worker.rack(), Sheet::fromWire(worker.capacity()),
                              Sheet::fromWire(worker.allocated()), worker.tasks(), worker.state(),
                              stale ? "as last reported; the zone can't be reached" : ""});
        }
    }
    return result;
}

std::vector<Operatorapi::InstanceView> ClusterReports::instances() const
{
    std::vector<Operatorapi::InstanceView> result;
    for (const auto &[id, instance] : directory_.all()) {
        Operatorapi::InstanceView view{id, instance.zone, "", instance.operators.toString(), false, 0, 0};
        const auto found = reports_.find(id);
        if (found != reports_.end()) {
            view.role = found->second->role();
            view.isReachable = true;
            view.sheetVersion = found->second->sheet_version();
            view.configurationVersion = found->second->configuration_version();
        }
        result.push_back(std::move(view));
    }
    for (const auto &[id, zone] : zones_) {
        const bool fresh = zone->round == round_;
        for (const auto &entry : zone->report.entries()) {
            result.push_back({InstanceId(entry.entry()), id, "entry", "", fresh && entry.reachable(), 0,
                              entry.configuration_version()});
        }
    }
    return result;
}

Operatorapi::StatusView ClusterReports::status() const
{
    auto status = local_.status();
    std::map<ZoneId, Operatorapi::ZoneStatus> zones;
    for (const auto &[id, instance] : directory_.all())
        zones[instance.zone].zone = instance.zone;
    for (const auto &[id, zone] : zones_) {
        auto &item = zones[id];
        item.zone = id;
        item.leader = InstanceId(zone->report.leader());
        item.isReachable = zone->round == round_;
        item.workers = static_cast<std::uint32_t>(zone->report.workers_size());
        for (const auto &booking : zone->report.bookings()) {
            item.runningTasks += booking.running();
            item.waitingTasks += booking.waiting();
        }
    }
    for (auto &[id, item] : zones)
        status.zones.push_back(std::move(item));
    return status;
}

std::vector<Operatorapi::ZoneCapacityView> ClusterReports::capacities() const
{
    std::vector<Operatorapi::ZoneCapacityView> result;
    for (const auto &[id, zone] : zones_) {
        // A leader that was just elected does not know the workers yet, which must not make a booking impossible.
        if (zone->round != round_ || !zone->report.workers_known() || zone->report.workers_size() == 0)
            continue;
        Operatorapi::ZoneCapacityView view{id, {}};
        for (const auto &worker : zone->report.workers()) {
            const auto capacity = Sheet::fromWire(worker.capacity());
            std::erase_if(view.workers, [&capacity](const Resources &other) { return other.fitsIn(capacity); });
            bool covered = false;
            for (const auto &other : view.workers)
                covered = covered || capacity.fitsIn(other);
            if (!covered)
                view.workers.push_back(capacity);
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace Pistachio::Controlnode
