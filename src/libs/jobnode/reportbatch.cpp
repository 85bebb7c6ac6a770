#include "jobnode/reportbatch.h"

#include "jobs/minionrecord.h"

#include <jobs.pb.h>

#include <memory>

namespace Pistachio::Jobnode
{

namespace
{

constexpr Duration answerLimit = 500ms; ///< below what the sender waits for

/// The outcomes of the reports of a batch, which become known one by one.
struct Batch {
    Wire::JobMinionReportsReply reply;
    int open = 0; ///< reports without an outcome
    bool isAnswered = false;
    Transport::Responder responder;
    Transport::Timer timer;

    void setStored(int report, bool stored)
    {
        if (isAnswered)
            return;
        reply.set_stored(report, stored);
        if (--open == 0)
            answer();
    }

    void answer()
    {
        isAnswered = true;
        timer.cancel();
        responder.respond({200, {{"Content-Type", "application/x-protobuf"}}, reply.SerializeAsString()});
    }
};

} // namespace

void answerReportBatch(Transport::EventLoop &loop, std::string_view body,
                       const std::function<void(const Jobs::MinionReport &, std::function<void(bool)>)> &report,
                       const Transport::Responder &responder)
{
    Wire::JobMinionReports message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        responder.respond({400, {}, "not a batch of reports"});
        return;
    }
    const auto batch = std::make_shared<Batch>();
    batch->responder = responder;
    batch->open = message.reports_size();
    batch->reply.mutable_stored()->Resize(message.reports_size(), false);
    batch->timer = loop.callAfter(answerLimit, [batch] { batch->answer(); });
    for (int i = 0; i < message.reports_size(); ++i) {
        auto item = Jobs::toReport(message.reports(i).minion());
        item.sequence = message.reports(i).sequence();
        const auto stored = [batch, i](bool isStored) { batch->setStored(i, isStored); };
        if (item.incarnation.id.empty() || item.service.empty())
            stored(false);
        else
            report(item, stored);
    }
    if (message.reports_size() == 0)
        batch->answer();
}

} // namespace Pistachio::Jobnode
