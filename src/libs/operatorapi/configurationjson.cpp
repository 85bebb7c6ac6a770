#include "operatorapi/configurationjson.h"

#include "cell.pb.h"
#include "sheet/utctext.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Pistachio::Operatorapi::Internal
{

namespace
{

using nlohmann::json;

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t bytesPerMebibyte = std::int64_t{1} << 20;
constexpr double milliCoresPerCore = 1000;
constexpr std::int64_t maximumAmount = std::int64_t{1} << 40; // as MB still below 2^63 bytes

Error fault(const std::string &where, std::string_view what)
{
    return failure(ErrorCode::InvalidArgument, where + ' ' + std::string(what));
}

Result<std::string> text(const json &object, const char *key, const std::string &where)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return fault(where + '.' + key, "must be a string");
    return found->get<std::string>();
}

Result<std::int64_t> wholeNumber(const json &object, const char *key, const std::string &where)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_integer())
        return fault(where + '.' + key, "must be a whole number");
    const bool isTooLarge = found->is_number_unsigned() && found->get<std::uint64_t>() > maximumAmount;
    if (isTooLarge || found->get<std::int64_t>() < 0)
        return fault(where + '.' + key, "must be from 0 to " + std::to_string(maximumAmount));
    return found->get<std::int64_t>();
}

Result<std::int64_t> milliCores(const json &object, const std::string &where)
{
    const auto found = object.find("cores");
    const double cores = found != object.end() && found->is_number() ? found->get<double>() : -1;
    if (!(cores >= 0 && cores <= static_cast<double>(maximumAmount) / milliCoresPerCore))
        return fault(where + ".cores", "must be a number that is not negative");
    return std::llround(cores * milliCoresPerCore);
}

Result<void> checkKeys(const json &object, const std::string &where, std::initializer_list<std::string_view> keys)
{
    if (!object.is_object())
        return fault(where, "must be an object");
    for (const auto &[key, value] : object.items()) {
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            return fault(where, "has the unknown key '" + key + "'");
    }
    return success();
}

Result<void> readQuota(const json &object, const std::string &where, Wire::TeamQuota &quota)
{
    BOOST_OUTCOME_TRY(checkKeys(object, where, {"team", "cores", "memory_mb", "accelerators"}));
    BOOST_OUTCOME_TRY(auto team, text(object, "team", where));
    BOOST_OUTCOME_TRY(auto cores, milliCores(object, where));
    BOOST_OUTCOME_TRY(auto memory, wholeNumber(object, "memory_mb", where));
    BOOST_OUTCOME_TRY(auto accelerators, wholeNumber(object, "accelerators", where));
    quota.set_team(team);
    quota.mutable_limit()->set_milli_cores(cores);
    quota.mutable_limit()->set_memory_bytes(memory * bytesPerMebibyte);
    quota.mutable_limit()->set_accelerators(accelerators);
    return success();
}

Result<void> readService(const json &object, const std::string &where, Wire::ServiceRoute &service)
{
    BOOST_OUTCOME_TRY(checkKeys(object, where, {"service", "timeout_ms", "max_body_bytes"}));
    BOOST_OUTCOME_TRY(auto name, text(object, "service", where));
    BOOST_OUTCOME_TRY(auto timeout, wholeNumber(object, "timeout_ms", where));
    BOOST_OUTCOME_TRY(auto bytes, wholeNumber(object, "max_body_bytes", where));
    service.set_service(name);
    service.set_timeout_ms(timeout);
    service.set_max_body_bytes(bytes);
    return success();
}

// Calls take(element, "<key>[<n>]") for each element of the list.
template<class Take> Result<void> readList(const json &body, const char *key, Take take)
{
    const auto found = body.find(key);
    if (found == body.end())
        return success();
    if (!found->is_array())
        return fault(key, "must be a list");
    for (std::size_t i = 0; i < found->size(); ++i) {
        const std::string where = std::string(key) + '[' + std::to_string(i) + ']';
        BOOST_OUTCOME_TRY(take((*found)[i], where));
    }
    return success();
}

} // namespace

json toJson(const Wire::Configuration &configuration)
{
    json quotas = json::array();
    for (const auto &quota : configuration.quotas())
        quotas.push_back({{"team", quota.team()},
                          {"cores", static_cast<double>(quota.limit().milli_cores()) / milliCoresPerCore},
                          {"memory_mb", quota.limit().memory_bytes() / bytesPerMebibyte},
                          {"accelerators", quota.limit().accelerators()}});
    json services = json::array();
    for (const auto &service : configuration.services())
        services.push_back({{"service", service.service()},
                            {"timeout_ms", service.timeout_ms()},
                            {"max_body_bytes", service.max_body_bytes()}});
    return {{"version", configuration.version()},
            {"author", configuration.author()},
            {"accepted_at", Sheet::utcText(configuration.accepted_unix_ms() / msPerSecond)},
            {"zones", configuration.zones()},
            {"quotas", std::move(quotas)},
            {"services", std::move(services)},
            {"packing_weight_percent", configuration.packing_weight_percent()}};
}

Result<Wire::Configuration> configurationFrom(const json &body)
{
    Wire::Configuration configuration;
    BOOST_OUTCOME_TRY(readList(body, "zones", [&](const json &zone, const std::string &where) -> Result<void> {
        if (!zone.is_string())
            return fault(where, "must be a string");
        configuration.add_zones(zone.get<std::string>());
        return success();
    }));
    BOOST_OUTCOME_TRY(readList(body, "quotas", [&](const json &quota, const std::string &where) {
        return readQuota(quota, where, *configuration.add_quotas());
    }));
    BOOST_OUTCOME_TRY(readList(body, "services", [&](const json &service, const std::string &where) {
        return readService(service, where, *configuration.add_services());
    }));
    constexpr std::int64_t wholePercent = 100;
    BOOST_OUTCOME_TRY(auto weight, wholeNumber(body, "packing_weight_percent", "configuration"));
    if (weight > wholePercent)
        return fault("packing_weight_percent", "must be from 0 to 100");
    configuration.set_packing_weight_percent(static_cast<std::uint32_t>(weight));
    return configuration;
}

} // namespace Pistachio::Operatorapi::Internal
