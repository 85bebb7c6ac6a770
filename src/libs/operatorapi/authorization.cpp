#include "operatorapi/authorization.h"

#include "operatorapi/answers.h"

namespace Pistachio::Operatorapi
{

bool equalInConstantTime(std::string_view presented, std::string_view expected)
{
    // The loop reads as many bytes whatever the secret is; volatile keeps the compiler from leaving it early.
    volatile unsigned difference = presented.size() == expected.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i) {
        const char secret = expected.empty() ? '\0' : expected[i % expected.size()];
        difference = difference | static_cast<unsigned char>(presented[i] ^ secret);
    }
    return difference == 0;
}

bool isAuthorized(const Headers &headers, std::string_view token)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = headerValue(headers, "Authorization");
    if (token.empty() || !value.starts_with(scheme))
        return false;
    return equalInConstantTime(value.substr(scheme.size()), token);
}

Answer unauthorizedAnswer()
{
    Answer answer
        = Internal::failureAnswer(401, "unauthorized", "the request has no valid token",
                                  "Send the header 'Authorization: Bearer <token>' with the operators' token.");
    answer.headers.emplace_back("WWW-Authenticate", "Bearer");
    return answer;
}

} // namespace Pistachio::Operatorapi
