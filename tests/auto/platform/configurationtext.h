#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

/// \return a route with all fields that it must have.
inline nlohmann::json completeRoute()
{
    return {{"name", "r"},       {"host", "h"},       {"pathPrefix", "/p/"}, {"kind", "non_idempotent"},
            {"timeoutMs", 3000}, {"priority", 1},     {"service", "s"},      {"targetLatencyMs", 300},
            {"maxAttempts", 4},  {"slackFactor", 2.5}};
}

/// \return a configuration with one such route and all fields that it must have.
inline nlohmann::json completeConfiguration()
{
    const nlohmann::json service{{"name", "s"},  {"healthPath", "/healthz"}, {"maxConnections", 64}, {"protocol", "h1"},
                                 {"tls", false}, {"preconditions", true}};
    const nlohmann::json limits{
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return {{"version", 7},
            {"routes", nlohmann::json::array({completeRoute()})},
            {"services", nlohmann::json::array({service})},
            {"limits", limits}};
}

/// \return a configuration that has every field that the interface knows.
inline nlohmann::json fullConfiguration()
{
    auto result = completeConfiguration();
    result["routes"][0]["anonymous"] = true;
    result["routes"][0]["recommendation"] = {{"decisionMs", 9.3}, {"perWorkerMs", 0.13}, {"validityMs", 2000}};
    result["services"][0]["standby"] = false;
    const nlohmann::json cap{{"cpu", 11'846'543}, {"memMb", 4096}, {"gpu", 361}};
    result["tenants"] = nlohmann::json::array(
        {{{"name", "hule930"}, {"apiKeys", {"k-1", "k-2"}}, {"priority", 1}, {"weight", 23.5}, {"cap", cap}}});
    return result;
}

/// \param value text that need not be JSON
/// \return the document with \p value in place of the value at \p pointer.
inline std::string withValue(nlohmann::json document, const nlohmann::json::json_pointer &pointer,
                             std::string_view value)
{
    const std::string mark = "@value@";
    document[pointer] = mark;
    auto text = document.dump();
    return text.replace(text.find('"' + mark), mark.size() + 2, value);
}
