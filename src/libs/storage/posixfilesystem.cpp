#include "storage/posixfilesystem.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <system_error>
#include <utility>

namespace Pistachio::Storage
{

namespace
{

Error systemError(const std::string &operation, const std::string &path, int number)
{
    ErrorCode code = ErrorCode::Io;
    const bool isTemporary
        = number == ENOSPC || number == EDQUOT || number == EMFILE || number == ENFILE || number == ENOMEM;
    if (isTemporary)
        code = ErrorCode::Capacity;
    else if (number == ENOENT)
        code = ErrorCode::NotFound;
    return failure(code, operation + ' ' + path + ": " + std::generic_category().message(number));
}

class PosixFile : public File
{
public:
    PosixFile(int descriptor, std::string path)
        : descriptor_(descriptor)
        , path_(std::move(path))
    {
    }
    ~PosixFile() override { ::close(descriptor_); }

    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return systemError("write", path_, errno);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return success();
    }

    Result<void> truncate(std::uint64_t size) override
    {
        if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0)
            return failure(ErrorCode::Io, systemError("truncate", path_, errno).message);
        return success();
    }

    Result<void> sync() override
    {
        // A full disk that shows only here has lost data already, so it is reported as Io.
        if (::fdatasync(descriptor_) != 0)
            return failure(ErrorCode::Io, systemError("fdatasync", path_, errno).message);
        return success();
    }

private:
    int descriptor_;
    std::string path_;
};

} // namespace

Result<void> PosixFileSystem::createFolder(const std::string &path)
{
    const std::filesystem::path folder(path);
    std::error_code error;
    if (std::filesystem::is_directory(folder, error))
        return success();
    const std::string parent = folder.parent_path().empty() ? "." : folder.parent_path().string();
    BOOST_OUTCOME_TRYV(createFolder(parent));
    if (::mkdir(path.c_str(), S_IRWXU | S_IRGRP | S_IXGRP) != 0 && errno != EEXIST)
        return systemError("mkdir", path, errno);
    return syncFolder(parent);
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string &folder)
{
    std::vector<std::string> names;
    std::error_code error;
    std::filesystem::directory_iterator entry(folder, error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
        names.push_back(entry->path().filename().string());
    if (error)
        return systemError("list", folder, error.value());
    std::ranges::sort(names);
    return names;
}

Result<std::string> PosixFileSystem::read(const std::string &path)
{
    errno = 0;
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return systemError("open", path, errno == 0 ? EIO : errno);
    std::string bytes((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    if (stream.bad())
        return systemError("read", path, EIO);
    return bytes;
}

Result<std::unique_ptr<File>> PosixFileSystem::openForAppend(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (descriptor < 0)
        return systemError("open", path, errno);
    return std::unique_ptr<File>(std::make_unique<PosixFile>(descriptor, path));
}

Result<void> PosixFileSystem::rename(const std::string &from, const std::string &to)
{
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return systemError("rename", from, errno);
    return success();
}

Result<void> PosixFileSystem::remove(const std::string &path)
{
    if (::unlink(path.c_str()) != 0)
        return systemError("remove", path, errno);
    return success();
}

Result<void> PosixFileSystem::syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return systemError("open", folder, errno);
    const int result = ::fsync(descriptor);
    const int number = errno;
    ::close(descriptor);
    if (result != 0)
        return failure(ErrorCode::Io, systemError("fsync", folder, number).message);
    return success();
}

} // namespace Pistachio::Storage
