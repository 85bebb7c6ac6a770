#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace Pistachio::EntryNode
{

struct NodeSettings;

/// The ports the system chose or the settings named.
struct ListenPorts {
    std::uint16_t callers = 0;
    std::uint16_t minions = 0;
    std::uint16_t internal = 0;
};

/// The process `pistachio-entry`: joins the decisions of `routing` to callers, minions, control and other entries.
class EntryNode
{
public:
    explicit EntryNode(NodeSettings settings);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Serves until `stop` was called and everything in flight has ended.
    /// \return the process's exit code.
    int run();
    /// Turns unready, finishes what is in flight and makes `run` return. Safe to call from any thread.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Pistachio::EntryNode
