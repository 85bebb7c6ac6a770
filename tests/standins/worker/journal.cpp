#include "journal.h"

#include "transport/eventloop.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace Pistachio::StandinWorker
{

Journal::~Journal()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Result<void> Journal::open(const std::string &path)
{
    if (path.empty())
        return success();
    constexpr int mode = 0644;
    descriptor_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (descriptor_ < 0)
        return failure(ErrorCode::Io, "can't open " + path + ": " + std::generic_category().message(errno));
    return success();
}

void Journal::write(std::string_view event, const TaskId &task, std::uint64_t incarnation, const WorkerId &worker,
                    std::string_view reason) const
{
    if (descriptor_ < 0)
        return;
    // The monotonic clock is common to all processes of the machine, so lines of several workers can be compared.
    const auto time = Transport::EventLoop::now().time_since_epoch().count();
    const auto line = std::to_string(time) + ' ' + std::string(event) + ' ' + task.toString() + ' '
        + std::to_string(incarnation) + ' ' + worker.value() + ' ' + std::string(reason) + '\n';
    if (::write(descriptor_, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        ::_exit(2); // A journal with gaps would let a test pass that must not.
}

} // namespace Pistachio::StandinWorker
