#include "jobnode/instanceid.h"

#include "storage/durablefile.h"
#include "storage/filesystem.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace Pistachio::Jobnode
{

namespace
{

constexpr const char *identityFile = "identity";
constexpr char separator = '~';

std::string newId(const std::string &ip)
{
    std::random_device device;
    std::ostringstream text;
    text << ip << separator << std::hex << device() << device();
    return text.str();
}

InstanceIdentity parse(const std::string &text)
{
    std::istringstream lines(text);
    std::string line;
    InstanceIdentity identity;
    std::getline(lines, line);
    identity.id = InstanceId(line);
    while (std::getline(lines, line))
        identity.initialMembers.voters.emplace_back(line);
    return identity;
}

std::string print(const InstanceIdentity &identity)
{
    std::string text = identity.id.value();
    for (const auto &voter : identity.initialMembers.voters)
        text += '\n' + voter.value();
    return text;
}

} // namespace

std::string_view ipOf(const InstanceId &id)
{
    return std::string_view(id.value()).substr(0, id.value().find(separator));
}

bool isReachable(const InstanceId &id)
{
    constexpr std::size_t longestId = 100;
    if (id.value().size() > longestId)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(ipOf(id), error);
    return !error;
}

bool canFoundGroup(std::size_t usable, std::size_t named)
{
    const auto majority = [](std::size_t members) { return members / 2 + 1; };
    return usable == named || (usable > 0 && majority(usable) + majority(named) > named);
}

Result<InstanceIdentity> loadIdentity(Storage::FileSystem &files, const std::string &folder, const std::string &ip,
                                      std::vector<std::string> seeds, bool bootstrap)
{
    BOOST_OUTCOME_TRYV(files.createFolder(folder));
    const auto stored = files.read(folder + '/' + identityFile);
    if (stored)
        return parse(stored.value());
    if (stored.error().code != ErrorCode::NotFound)
        return stored.error();
    InstanceIdentity identity;
    if (bootstrap) {
        std::sort(seeds.begin(), seeds.end());
        identity.id = InstanceId(ip);
        for (const auto &seed : seeds)
            identity.initialMembers.voters.emplace_back(seed);
    } else {
        identity.id = InstanceId(newId(ip));
    }
    BOOST_OUTCOME_TRYV(Storage::Internal::writeDurably(files, folder, identityFile, print(identity)));
    return identity;
}

} // namespace Pistachio::Jobnode
