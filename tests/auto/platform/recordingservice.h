#pragma once

#include "jobnode/controlservice.h"

#include <jobs.pb.h>

#include <functional>
#include <optional>
#include <string>

/// A control instance that takes everything: it counts what reaches it and holds the last configuration.
class RecordingService : public Pistachio::Jobnode::ControlService
{
public:
    [[nodiscard]] bool canAnswer() const override { return true; }
    void forward(const Pistachio::Transport::Request & /*request*/,
                 std::function<void(Pistachio::Transport::Response)> /*answered*/) override
    {
    }
    void onForwarded(Pistachio::Transport::RequestHandler /*handler*/) override { }
    void minionReported(const Pistachio::Jobs::MinionReport & /*report*/,
                        std::function<void(bool stored)> stored) override
    {
        ++calls;
        stored(true);
    }
    [[nodiscard]] std::string reportIp(const std::string & /*minion*/) const override { return {}; }
    void minionLeft(const Pistachio::Jobs::MinionIncarnation & /*incarnation*/,
                    std::function<void(bool confirmed)> confirmed) override
    {
        ++calls;
        confirmed(true);
    }
    void configure(const Pistachio::Wire::JobConfiguration &configuration,
                   std::function<void(const Pistachio::Wire::JobReply &)> answered) override
    {
        ++calls;
        document = configuration.document();
        Pistachio::Wire::JobReply reply;
        reply.set_verdict(Pistachio::Wire::JOB_VERDICT_ACCEPTED);
        answered(reply);
    }
    void readConfiguration(std::function<void(std::optional<std::string> document)> answered) override
    {
        answered(document);
    }

    int calls = 0;
    std::string document;
};
