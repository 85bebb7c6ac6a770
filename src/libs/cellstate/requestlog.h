#pragma once

#include "cell.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Pistachio::Cellstate::Internal
{

/// More than twice the changes of a day at the two-year scale (3,200).
constexpr std::size_t keptRequests = 8'192;

/// Room for 5 KiB for each change of a day, far above the usual result.
constexpr std::size_t keptRequestBytes = std::size_t{16} << 20;

/// How long an operator can safely repeat a request.
constexpr std::int64_t keptRequestsMs = 24LL * 3'600'000;

/// \param command a change by an operator
/// \return a hash of the author and the change, without what the leader added to it.
std::uint64_t fingerprintOf(const Wire::CellCommand &command);

/// The results of operators' requests by request id, limited in number, in size and by the time in the commands.
class RequestLog
{
public:
    /// \param requestId the id of a request, not empty
    /// \return the stored request, or nullptr.
    [[nodiscard]] const Wire::StoredRequest *find(const std::string &requestId) const;

    /// \param request a request with an id that is not stored
    void add(Wire::StoredRequest request);

    /// Drops the requests that were proposed longer than keptRequestsMs before \p nowUnixMs.
    void expire(std::int64_t nowUnixMs);

    /// \return the stored requests, oldest first.
    [[nodiscard]] const std::deque<Wire::StoredRequest> &requests() const { return requests_; }

private:
    void dropOldest();

    std::deque<Wire::StoredRequest> requests_;
    std::map<std::string, std::uint64_t, std::less<>> numberOf_;
    std::uint64_t firstNumber_ = 0; // of requests_.front()
    std::size_t bytes_ = 0;
};

} // namespace Pistachio::Cellstate::Internal
