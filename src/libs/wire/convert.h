#pragma once

#include "core/resources.h"
#include "core/taskid.h"

#include <common.pb.h>

namespace Pistachio::Wire
{

/// \return the message as the value type of the decision libraries.
inline Pistachio::Resources toCore(const Resources &message)
{
    return {message.milli_cores(), message.memory_bytes(), message.accelerators()};
}

/// \return the message as the value type of the decision libraries.
inline Pistachio::TaskId toCore(const TaskId &message)
{
    return {BookingId(message.booking()), message.index()};
}

inline void fill(Resources &message, const Pistachio::Resources &value)
{
    message.set_milli_cores(value.milliCores);
    message.set_memory_bytes(value.memoryBytes);
    message.set_accelerators(value.accelerators);
}

inline void fill(TaskId &message, const Pistachio::TaskId &value)
{
    message.set_booking(value.booking.value());
    message.set_index(value.index);
}

} // namespace Pistachio::Wire
