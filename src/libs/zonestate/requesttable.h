#pragma once

#include "core/result.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Pistachio::Wire
{
class ClaimRequest;
class FinishRequest;
class RequestRecord;
class ZoneResult;
class ZoneSnapshot;
} // namespace Pistachio::Wire

namespace Pistachio::ZoneState
{

/// The records of non-idempotent requests whose key has its home in this zone. A key is claimed by at most one attempt
/// at a time, and claimed anew only after `not run`.
class RequestTable
{
public:
    RequestTable();
    ~RequestTable();
    RequestTable(RequestTable &&) noexcept;
    RequestTable &operator=(RequestTable &&) noexcept;

    /// Claims a key for one attempt.
    Wire::ZoneResult claim(const Wire::ClaimRequest &request, std::int64_t unixMs);

    /// Records the outcome of an attempt. A finish that overtakes its claim makes the claim refused.
    Wire::ZoneResult finish(const Wire::FinishRequest &request, std::int64_t unixMs);

    /// Makes what the entry has claimed and not finished unknown.
    /// \param entry the silent entry
    /// \param unixMs when it was proposed
    /// \return the number of records changed.
    std::size_t entrySilent(std::string_view entry, std::int64_t unixMs);

    /// Drops finished records last changed before the given time; the retention is kept whatever the command says.
    /// \return the number of records dropped.
    std::size_t expire(std::int64_t beforeUnixMs, std::int64_t unixMs);

    /// \param key the idempotency key
    /// \return its record, or null.
    [[nodiscard]] const Wire::RequestRecord *find(std::string_view key) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

    /// \return the entries that hold claims.
    [[nodiscard]] std::set<std::string> claimingEntries() const;

    void save(Wire::ZoneSnapshot &snapshot) const;
    Result<void> load(const Wire::ZoneSnapshot &snapshot);

private:
    void setClaimed(Wire::RequestRecord &record, const Wire::ClaimRequest &request, std::int64_t unixMs);
    void setFinished(Wire::RequestRecord &record, int outcome, std::int64_t unixMs);

    std::map<std::string, std::unique_ptr<Wire::RequestRecord>, std::less<>> records_;
    std::map<std::string, std::set<std::string>, std::less<>> claimedBy_; // keys by entry
    std::set<std::pair<std::int64_t, std::string>> finishedAt_; // keys in order of expiry
};

} // namespace Pistachio::ZoneState
