#pragma once

#include "storage/filesystem.h"

namespace Pistachio::Storage
{

/// The file system of the operating system.
class PosixFileSystem : public FileSystem
{
public:
    Result<void> createFolder(const std::string &path) override;
    Result<std::vector<std::string>> list(const std::string &folder) override;
    Result<std::string> read(const std::string &path) override;
    Result<std::unique_ptr<File>> openForAppend(const std::string &path) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &path) override;
    Result<void> syncFolder(const std::string &folder) override;
};

} // namespace Pistachio::Storage
