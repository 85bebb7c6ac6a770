#pragma once

#include "logging/logger.h"
#include "platform/platformclient.h"
#include "transport/eventloop.h"
#include "transport/httpserver.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// A minion, and an advice service, that gives one prepared answer and keeps the last request.
class ScriptedMinion
{
public:
    /// \param logFile gets the client's warnings
    explicit ScriptedMinion(const std::string &logFile = "/dev/null")
        : server(loop, {},
                 [this](Pistachio::Transport::Request received, const Pistachio::Transport::Responder &responder) {
                     request = std::move(received);
                     if (answersNothing)
                         unanswered.push_back(responder);
                     else
                         responder.respond(answer);
                 })
        , logger("test", "test", "warning", logFile)
        , port(server.listen({"127.0.0.1", 0}).value())
        , client(loop, logger, {"127.0.0.1", port}, connections)
    {
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    Pistachio::Jobs::OrderAnswer start(const Pistachio::Jobs::StartOrder &order)
    {
        std::optional<Pistachio::Jobs::OrderAnswer> result;
        client.start(order, [&](const Pistachio::Jobs::OrderAnswer &given) { result = given; });
        while (!result)
            loop.runFor(std::chrono::milliseconds(10));
        return result.value();
    }

    Pistachio::Jobs::LeaseAnswer renewLease(const Pistachio::Jobs::LeaseOrder &order)
    {
        std::optional<Pistachio::Jobs::LeaseAnswer> result;
        client.renewLease(order, [&](const Pistachio::Jobs::LeaseAnswer &given) { result = given; });
        while (!result)
            loop.runFor(std::chrono::milliseconds(10));
        return result.value();
    }

    /// \return the approved minions, or nothing when the advice was not understood.
    std::optional<std::vector<Pistachio::Jobs::ApprovedMinion>> ask(const Pistachio::Jobs::AdviceRequest &question)
    {
        std::optional<std::vector<Pistachio::Jobs::ApprovedMinion>> result;
        bool isOver = false;
        client.ask(question, [&](bool answered, std::vector<Pistachio::Jobs::ApprovedMinion> approved) {
            isOver = true;
            if (answered)
                result = std::move(approved);
        });
        while (!isOver)
            loop.runFor(std::chrono::milliseconds(10));
        return result;
    }

    static constexpr std::size_t connections = 64;

    Pistachio::Transport::EventLoop loop;
    Pistachio::Transport::HttpServer server;
    Pistachio::Transport::Request request;
    Pistachio::Transport::Response answer;
    bool answersNothing = false;
    std::vector<Pistachio::Transport::Responder> unanswered; ///< keeps requests open
    Pistachio::Logging::Logger logger;
    std::uint16_t port;
    Pistachio::Platform::PlatformClient client;
};
