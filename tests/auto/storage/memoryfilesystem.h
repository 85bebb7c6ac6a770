#pragma once

#include "core/random.h"
#include "storage/filesystem.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace Pistachio::Storage
{

/// Files in memory that lose at a crash what was not synced, with switches for faults.
class MemoryFileSystem : public FileSystem
{
public:
    struct Content {
        std::string bytes;
        std::size_t durable = 0;
    };

    bool failSyncs = false; ///< sync() reports Io and makes nothing durable
    bool forgetSyncs = false; ///< sync() of a file reports success and makes nothing durable: a disk that lies
    bool failOpens = false; ///< openForAppend() reports Capacity: the process has no descriptor left
    bool failRemoves = false; ///< remove() reports Io
    std::size_t room = std::numeric_limits<std::size_t>::max(); ///< bytes until the disk is full
    std::uint64_t syncs = 0; ///< of files
    std::map<std::string, std::shared_ptr<Content>> files;

    /// Loses the names or none of them, and of each file a random part of what was not synced; the part that is left
    /// may be damaged.
    void crash(RandomSource &random)
    {
        if (random.below(2) == 0)
            files = durableFiles_;
        for (auto &[path, content] : files) {
            const std::size_t unsynced = content->bytes.size() - content->durable;
            const std::size_t kept = random.below(unsynced + 1);
            content->bytes.resize(content->durable + kept);
            if (kept > 0 && random.below(2) == 0)
                content->bytes[content->durable + random.below(kept)] ^= 0x20;
            content->durable = content->bytes.size();
        }
        durableFiles_ = files;
    }

    Result<void> createFolder(const std::string & /*path*/) override { return success(); }

    Result<std::vector<std::string>> list(const std::string &folder) override
    {
        std::vector<std::string> names;
        for (const auto &[path, content] : files) {
            if (path.starts_with(folder + '/'))
                names.push_back(path.substr(folder.size() + 1));
        }
        return names;
    }

    Result<std::string> read(const std::string &path) override
    {
        const auto file = files.find(path);
        if (file == files.end())
            return failure(ErrorCode::NotFound, path);
        return file->second->bytes;
    }

    Result<std::unique_ptr<File>> openForAppend(const std::string &path) override
    {
        if (failOpens)
            return failure(ErrorCode::Capacity, path);
        auto &content = files[path];
        if (!content)
            content = std::make_shared<Content>();
        return std::unique_ptr<File>(std::make_unique<MemoryFile>(*this, content));
    }

    Result<void> rename(const std::string &from, const std::string &to) override
    {
        files[to] = files.at(from);
        files.erase(from);
        return success();
    }

    Result<void> remove(const std::string &path) override
    {
        if (failRemoves)
            return failure(ErrorCode::Io, path);
        return files.erase(path) > 0 ? Result<void>(success()) : failure(ErrorCode::NotFound, path);
    }

    Result<void> syncFolder(const std::string & /*folder*/) override
    {
        durableFiles_ = files;
        return success();
    }

private:
    class MemoryFile : public File
    {
    public:
        MemoryFile(MemoryFileSystem &fileSystem, std::shared_ptr<Content> content)
            : fileSystem_(fileSystem)
            , content_(std::move(content))
        {
        }

        Result<void> append(std::string_view bytes) override
        {
            const std::size_t written = std::min(bytes.size(), fileSystem_.room);
            content_->bytes += bytes.substr(0, written);
            fileSystem_.room -= written;
            return written == bytes.size() ? Result<void>(success()) : failure(ErrorCode::Capacity, "disk full");
        }

        Result<void> truncate(std::uint64_t size) override
        {
            content_->bytes.resize(size);
            content_->durable = std::min(content_->durable, content_->bytes.size());
            return success();
        }

        Result<void> sync() override
        {
            ++fileSystem_.syncs;
            if (fileSystem_.failSyncs)
                return failure(ErrorCode::Io, "injected");
            if (!fileSystem_.forgetSyncs)
                content_->durable = content_->bytes.size();
            return success();
        }

    private:
        MemoryFileSystem &fileSystem_;
        std::shared_ptr<Content> content_;
    };

    std::map<std::string, std::shared_ptr<Content>> durableFiles_;
};

} // namespace Pistachio::Storage
