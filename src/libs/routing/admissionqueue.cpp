#include "routing/admissionqueue.h"

#include <algorithm>

namespace Pistachio::Routing
{

void AdmissionQueue::push(const CallerId &caller, const RequestId &request)
{
    auto &waiting = byCaller_[caller];
    if (waiting.empty())
        callersInTurn_.push_back(caller);
    waiting.push_back(request);
    ++size_;
}

void AdmissionQueue::pushRetry(const RequestId &request)
{
    retries_.push_back(request);
    ++size_;
}

std::optional<RequestId> AdmissionQueue::pop()
{
    if (size_ == 0)
        return std::nullopt;
    --size_;
    if (!retries_.empty()) {
        RequestId request = std::move(retries_.front());
        retries_.pop_front();
        return request;
    }
    const CallerId caller = std::move(callersInTurn_.front());
    callersInTurn_.pop_front();
    const auto waiting = byCaller_.find(caller);
    RequestId request = std::move(waiting->second.front());
    waiting->second.pop_front();
    if (waiting->second.empty())
        byCaller_.erase(waiting);
    else
        callersInTurn_.push_back(caller);
    return request;
}

bool AdmissionQueue::remove(const CallerId &caller, const RequestId &request)
{
    if (const auto retry = std::ranges::find(retries_, request); retry != retries_.end()) {
        retries_.erase(retry);
        --size_;
        return true;
    }
    const auto waiting = byCaller_.find(caller);
    if (waiting == byCaller_.end())
        return false;
    const auto position = std::ranges::find(waiting->second, request);
    if (position == waiting->second.end())
        return false;
    waiting->second.erase(position);
    --size_;
    if (waiting->second.empty()) {
        byCaller_.erase(waiting);
        std::erase(callersInTurn_, caller);
    }
    return true;
}

std::size_t AdmissionQueue::positionFor(const CallerId &caller) const
{
    const std::size_t own = sizeOf(caller);
    std::size_t position = retries_.size() + own;
    for (const auto &[other, waiting] : byCaller_) {
        if (other != caller)
            position += std::min(waiting.size(), own + 1);
    }
    return position;
}

std::size_t AdmissionQueue::sizeOf(const CallerId &caller) const
{
    const auto waiting = byCaller_.find(caller);
    return waiting == byCaller_.end() ? 0 : waiting->second.size();
}

std::optional<CallerId> AdmissionQueue::callerWithMostWaiting() const
{
    const auto largest = std::ranges::max_element(
        byCaller_, [](const auto &left, const auto &right) { return left.second.size() < right.second.size(); });
    return largest == byCaller_.end() ? std::nullopt : std::optional(largest->first);
}

std::optional<RequestId> AdmissionQueue::popNewest(const CallerId &caller)
{
    const auto waiting = byCaller_.find(caller);
    if (waiting == byCaller_.end())
        return std::nullopt;
    RequestId request = waiting->second.back();
    remove(caller, request);
    return request;
}

} // namespace Pistachio::Routing
