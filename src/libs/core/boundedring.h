#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Pistachio
{

/// A queue of fixed capacity that joins two threads. It refuses when full instead of growing or blocking the producer.
template<class T> class BoundedRing
{
public:
    /// \param capacity the most elements held at a time, above zero
    explicit BoundedRing(std::size_t capacity)
        : slots_(capacity)
    {
    }

    /// \param value the element to add
    /// \return whether it was added; false when the ring is full or closed.
    bool tryPush(T value)
    {
        {
            const std::lock_guard lock(mutex_);
            if (closed_ || size_ == slots_.size())
                return false;
            slots_[(head_ + size_) % slots_.size()] = std::move(value);
            ++size_;
        }
        filled_.notify_one();
        return true;
    }

    /// Waits for an element.
    /// \return the oldest element, or nothing once the ring is closed and empty.
    std::optional<T> pop()
    {
        std::unique_lock lock(mutex_);
        filled_.wait(lock, [this] { return size_ > 0 || closed_; });
        return take();
    }

    /// \return the oldest element, or nothing when the ring is empty.
    std::optional<T> tryPop()
    {
        const std::lock_guard lock(mutex_);
        return take();
    }

    /// Refuses further elements and wakes the consumers.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
    }

private:
    std::optional<T> take()
    {
        if (size_ == 0)
            return std::nullopt;
        std::optional<T> value(std::move(slots_[head_]));
        slots_[head_] = T();
        head_ = (head_ + 1) % slots_.size();
        --size_;
        return value;
    }

    std::mutex mutex_;
    std::condition_variable filled_;
    std::vector<T> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool closed_ = false;
};

} // namespace Pistachio
