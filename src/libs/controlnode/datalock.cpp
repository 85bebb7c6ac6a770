#include "controlnode/datalock.h"

#include "storage/posixfilesystem.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace Pistachio::Controlnode
{

DataLock::~DataLock()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Result<void> DataLock::take(const std::string &folder)
{
    Storage::PosixFileSystem files;
    BOOST_OUTCOME_TRYV(files.createFolder(folder));
    const auto path = folder + "/lock";
    constexpr int ownerOnly = 0600;
    descriptor_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, ownerOnly);
    if (descriptor_ >= 0 && ::flock(descriptor_, LOCK_EX | LOCK_NB) == 0)
        return success();
    if (descriptor_ >= 0 && errno == EWOULDBLOCK)
        return failure(ErrorCode::Conflict, "another process uses the data directory " + folder);
    return failure(ErrorCode::Io, "can't lock " + path + ": " + std::generic_category().message(errno));
}

} // namespace Pistachio::Controlnode
