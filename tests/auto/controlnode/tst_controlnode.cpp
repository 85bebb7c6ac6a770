#include "cellstate/cellstate.h"
#include "controlnode/bookingrelease.h"
#include "controlnode/cellinforce.h"
#include "controlnode/configurationfeed.h"
#include "controlnode/controlnode.h"
#include "controlnode/identity.h"
#include "controlnode/membershipdriver.h"
#include "settings/controlsettings.h"
#include "storage/posixfilesystem.h"
#include "zonestate/zonestate.h"

#include <cell.pb.h>
#include <entry.pb.h>
#include <zone.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdlib.h>

using namespace Pistachio;
using namespace Pistachio::Controlnode;

namespace
{

/// A file whose first sync after the start fails.
class FailingFile final : public Storage::File
{
public:
    explicit FailingFile(std::unique_ptr<Storage::File> file)
        : file_(std::move(file))
    {
    }
    Result<void> append(std::string_view bytes) override { return file_->append(bytes); }
    Result<void> truncate(std::uint64_t size) override { return file_->truncate(size); }
    Result<void> sync() override
    {
        // The file's header is synced when it is created; the next sync is the vote of the election.
        if (++syncs_ == 1)
            return file_->sync();
        return failure(ErrorCode::Io, "injected: the disk does not sync");
    }

private:
    std::unique_ptr<Storage::File> file_;
    int syncs_ = 0;
};

class FailingFileSystem final : public Storage::PosixFileSystem
{
public:
    Result<std::unique_ptr<Storage::File>> openForAppend(const std::string &path) override
    {
        BOOST_OUTCOME_TRY(auto file, PosixFileSystem::openForAppend(path));
        if (path.find("/cell/log-") == std::string::npos)
            return file;
        return std::unique_ptr<Storage::File>(std::make_unique<FailingFile>(std::move(file)));
    }
};

/// An entry's poll and what it was answered.
struct Poll {
    std::optional<Transport::Response> response;

    Poll(ConfigurationFeed &feed, TimePoint now, const std::string &entry, std::uint64_t version)
    {
        Wire::ConfigurationPoll poll;
        poll.set_entry(entry);
        poll.set_version_in_force(version);
        poll.mutable_self()->set_id(entry);
        feed.poll(now, poll,
                  Transport::Responder([this](Transport::Response answer) { response = std::move(answer); }));
    }

    [[nodiscard]] Wire::ConfigurationPush push() const
    {
        Wire::ConfigurationPush result;
        CPPUNIT_ASSERT(response && response->status == 200 && result.ParseFromString(response->body));
        return result;
    }
};

Cellstate::InstanceRecord instance(const std::string &id, const std::string &zone, const std::string &replaces,
                                   bool retired = false)
{
    Cellstate::InstanceRecord record;
    record.id = InstanceId(id);
    record.zone = ZoneId(zone);
    record.replaces = InstanceId(replaces);
    record.retired = retired;
    return record;
}

/// Applies the driver's changes as a group would.
std::string apply(const ZoneId &zone, Replication::Membership members, const MembershipDriver::Instances &instances)
{
    std::string steps;
    while (const auto change = MembershipDriver::nextChange(zone, members, instances)) {
        CPPUNIT_ASSERT_MESSAGE(steps, steps.size() < 200);
        const auto id = change->instance;
        if (change->kind == Replication::MembershipChange::Kind::AddLearner) {
            steps += "+" + id.value();
            members.learners.push_back(id);
        } else if (change->kind == Replication::MembershipChange::Kind::Promote) {
            steps += "^" + id.value();
            std::erase(members.learners, id);
            members.voters.push_back(id);
        } else {
            steps += "-" + id.value();
            std::erase(members.learners, id);
            std::erase(members.voters, id);
        }
    }
    return steps;
}

void applyConfiguration(Cellstate::CellState &cell, const char *request)
{
    Wire::CellCommand command;
    command.set_request_id(request);
    command.set_author("a");
    command.mutable_set_configuration()->set_expected_version(cell.configuration().version());
    auto &configuration = *command.mutable_set_configuration()->mutable_configuration();
    configuration.add_zones("z");
    configuration.set_packing_weight_percent(static_cast<std::uint32_t>(cell.configuration().version()));
    configuration.add_quotas()->set_team("t");
    configuration.mutable_quotas(0)->mutable_limit()->set_milli_cores(10'000);
    configuration.mutable_quotas(0)->mutable_limit()->set_memory_bytes(1 << 30);
    const auto applied = cell.apply(command);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.message(), Wire::CELL_RESULT_ACCEPTED, applied.code());
}

void applySheet(Cellstate::CellState &cell, const char *request)
{
    Wire::CellCommand command;
    command.set_request_id(request);
    command.set_author("a");
    auto &booking = *command.mutable_apply_sheet()->add_bookings();
    booking.set_id("b");
    booking.set_team("t");
    booking.set_kind(Wire::WORK_KIND_SERVICE);
    booking.set_standing(Wire::STANDING_NORMAL);
    booking.set_tasks(1);
    booking.set_zone("z");
    booking.set_command("serve");
    booking.mutable_resources()->set_milli_cores(1000);
    booking.mutable_resources()->set_memory_bytes(1 << 20);
    const auto applied = cell.apply(command);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.message(), Wire::CELL_RESULT_ACCEPTED, applied.code());
}

} // namespace

class ControlnodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlnodeTest);
    CPPUNIT_TEST(entriesNeverGetAConfigurationBelowTheFloor);
    CPPUNIT_TEST(aCellStateIsInForceOnlyWithItsFloor);
    CPPUNIT_TEST(silentAndLeavingEntriesDropOutOfTheView);
    CPPUNIT_TEST(membersFollowTheAddedInstances);
    CPPUNIT_TEST(aBookingIsReleasedOnlyAfterItsLastAssignment);
    CPPUNIT_TEST(aVoterWithoutItsDataDoesNotStart);
    CPPUNIT_TEST(aFailedSyncStopsTheProcess);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint start_{1h};

public:
    // Guards against an entry that falls back to an older configuration after a change of the zone leader (I8).
    void entriesNeverGetAConfigurationBelowTheFloor()
    {
        ConfigurationFeed feed;
        Wire::Configuration configuration;
        configuration.set_version(4);
        Poll early(feed, start_, "entry-1", 0);
        feed.answer(start_, {5, &configuration});
        CPPUNIT_ASSERT(!early.push().has_configuration());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, early.push().floor());

        configuration.set_version(5);
        Poll next(feed, start_, "entry-1", 0);
        feed.answer(start_, {5, &configuration});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, next.push().configuration().version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, feed.versions().front().version);

        Poll idle(feed, start_, "entry-1", 5);
        feed.answer(start_ + 2900ms, {5, &configuration});
        CPPUNIT_ASSERT(!idle.response);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, feed.versions().front().version);
        feed.answer(start_ + 3s, {5, &configuration});
        CPPUNIT_ASSERT(!idle.push().has_configuration());
    }

    // Guards against a sheet or a configuration that a later zone leader or a restarted entry reverts (I8): it must not
    // take effect before the zone's log holds it as the floor, and a leader must not act on one behind the floor.
    void aCellStateIsInForceOnlyWithItsFloor()
    {
        Cellstate::CellState cell;
        CellInForce inForce(ZoneId("z"));
        CPPUNIT_ASSERT(inForce.isCurrent({}));
        applyConfiguration(cell, "1");
        applySheet(cell, "2");
        const CellFloor first{cell.configuration().version(), cell.bookingsRevision()};
        CPPUNIT_ASSERT(!inForce.update(cell, {}));
        CPPUNIT_ASSERT(inForce.wanted() == first);
        CPPUNIT_ASSERT(inForce.bookings().empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, std::uint64_t{inForce.configuration().version()});

        // A newer configuration arrives while the floor is being committed: the older state takes effect first.
        applyConfiguration(cell, "3");
        CPPUNIT_ASSERT(inForce.update(cell, first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, inForce.bookings().size());
        CPPUNIT_ASSERT_EQUAL(first.configuration, std::uint64_t{inForce.configuration().version()});
        CPPUNIT_ASSERT(!inForce.isLatest(cell));
        const CellFloor second{cell.configuration().version(), cell.bookingsRevision()};
        CPPUNIT_ASSERT(inForce.wanted() == second);
        CPPUNIT_ASSERT(inForce.isCurrent(first) && !inForce.isCurrent(second));
        CPPUNIT_ASSERT(inForce.update(cell, second));
        CPPUNIT_ASSERT(inForce.isLatest(cell) && inForce.isCurrent(second) && !inForce.wanted());

        // An instance that missed the changes must not lead, and takes nothing over until it has caught up.
        CellInForce behind(ZoneId("z"));
        CPPUNIT_ASSERT(!behind.update(Cellstate::CellState(), second));
        CPPUNIT_ASSERT(!behind.isCurrent(second));
        CPPUNIT_ASSERT(behind.update(cell, second));
        CPPUNIT_ASSERT(behind.isCurrent(second));

        // An instance that learned several changes at once skips the one of the floor. It asks for a newer floor, which
        // its zone group may commit although it does not lead the zone yet.
        CellInForce skipping(ZoneId("z"));
        CPPUNIT_ASSERT(!skipping.update(cell, first) && !skipping.isCurrent(first));
        CPPUNIT_ASSERT(skipping.wanted() == second);
        CPPUNIT_ASSERT(skipping.update(cell, second) && skipping.isCurrent(second));
    }

    // Guards against slots of minions that are kept for entries which are gone, and claims that stay open for ever.
    void silentAndLeavingEntriesDropOutOfTheView()
    {
        ConfigurationFeed feed;
        feed.start(start_, {"entry-9"});
        Poll first(feed, start_, "entry-1", 0);
        Poll second(feed, start_, "entry-2", 0);
        feed.answer(start_, {});
        CPPUNIT_ASSERT_EQUAL(2, first.push().entries_size());
        CPPUNIT_ASSERT(feed.takeSilent(start_ + 11999ms).empty());
        Poll again(feed, start_ + 11999ms, "entry-1", 0);
        CPPUNIT_ASSERT((std::vector<std::string>{"entry-2", "entry-9"}) == feed.takeSilent(start_ + 12s));
        CPPUNIT_ASSERT(feed.takeSilent(start_ + 13s).empty());
        feed.answer(start_ + 12s, {});
        CPPUNIT_ASSERT_EQUAL(1, again.push().entries_size());
    }

    // Guards against a repair that removes a voter before its replacement counts, and against a zone without a quorum.
    void membersFollowTheAddedInstances()
    {
        const Replication::Membership members{{InstanceId("a"), InstanceId("b"), InstanceId("c")}, {InstanceId("l")}};
        const auto map = [](std::initializer_list<Cellstate::InstanceRecord> records) {
            MembershipDriver::Instances result;
            for (const auto &record : records)
                result[record.id] = record;
            return result;
        };
        const ZoneId zone("z");
        const auto check
            = [&](const std::string &steps, const ZoneId &group, const MembershipDriver::Instances &added) {
                  CPPUNIT_ASSERT_EQUAL(steps, apply(group, members, added));
              };
        check("+d", ZoneId(), map({instance("d", "y", "")}));
        check("", zone, map({instance("d", "y", "")}));
        check("+d^d-b", zone, map({instance("d", "z", "b")}));
        check("+d^d-b", zone, map({instance("d", "y", "b")}));
        check("+d-l", ZoneId(), map({instance("d", "z", "l")}));
        // The replacement was lost itself before it joined.
        check("+e^e-b", zone, map({instance("d", "z", "b", true), instance("e", "z", "d")}));
        CPPUNIT_ASSERT_EQUAL(std::string("+d^d"),
                             apply(zone, {{InstanceId("a"), InstanceId("b")}, {}}, map({instance("d", "z", "")})));
    }

    // Guards against a booking that another zone may start while an assignment here is still on its way (I2).
    void aBookingIsReleasedOnlyAfterItsLastAssignment()
    {
        const ZoneId zone("z");
        Cellstate::CellState cell;
        applyConfiguration(cell, "1");
        applySheet(cell, "2");
        BookingRelease release;
        ZoneState::ZoneState state;
        CPPUNIT_ASSERT(release.find(zone, cell, state.tasks(), 7, 5).empty());

        Wire::CellCommand command;
        command.set_author("a");
        command.set_request_id("3");
        command.mutable_cancel_bookings()->add_bookings("b");
        CPPUNIT_ASSERT_EQUAL(Wire::CELL_RESULT_ACCEPTED, cell.apply(command).code());
        CPPUNIT_ASSERT(release.find(zone, cell, state.tasks(), 7, 5).empty());
        Wire::ZoneCommand assign;
        auto &assignment = *assign.mutable_assign_tasks()->add_assignments();
        assignment.mutable_task()->set_booking("b");
        assignment.set_incarnation(1);
        assignment.set_worker("w");
        assignment.mutable_resources()->set_milli_cores(1000);
        *assignment.mutable_worker_capacity() = assignment.resources();
        CPPUNIT_ASSERT_EQUAL(Wire::ZONE_RESULT_ACCEPTED, state.apply(assign).code());
        CPPUNIT_ASSERT(release.find(zone, cell, state.tasks(), 9, 7).empty());
        Wire::ZoneCommand end;
        auto &ended = *end.mutable_end_tasks()->add_ends();
        *ended.mutable_task() = assignment.task();
        ended.set_incarnation(1);
        ended.set_worker("w");
        ended.set_reason(Wire::TASK_END_STOPPED);
        state.apply(end);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, release.find(zone, cell, state.tasks(), 9, 8).size());
        CPPUNIT_ASSERT(release.find(ZoneId("y"), cell, state.tasks(), 9, 8).empty());
    }

    // Guards against a voter that lost its disk and votes again: it forgot its votes and what it acknowledged.
    void aVoterWithoutItsDataDoesNotStart()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "pistachio-controlnode-XXXXXX").string();
        Storage::PosixFileSystem files;
        Settings::ControlSettings settings;
        settings.instance = InstanceId("control-1");
        settings.dataFolder = ::mkdtemp(pattern.data());
        settings.groups = {{GroupId("cell"), {InstanceId("control-1")}, {}}};
        const auto refused = claimDataFolder(files, settings, StartMode::Normal);
        CPPUNIT_ASSERT(refused.has_error() && refused.error().message.find("--bootstrap") != std::string::npos);
        CPPUNIT_ASSERT(claimDataFolder(files, settings, StartMode::Bootstrap).has_value());
        CPPUNIT_ASSERT(claimDataFolder(files, settings, StartMode::Normal).has_value());

        settings.instance = InstanceId("control-2");
        const auto foreign = claimDataFolder(files, settings, StartMode::Bootstrap);
        CPPUNIT_ASSERT(foreign.has_error() && foreign.error().message.find("'control-1'") != std::string::npos);
        // The disk is lost; an instance without an initial vote joins with an empty folder.
        std::filesystem::remove(settings.dataFolder + "/identity");
        CPPUNIT_ASSERT(claimDataFolder(files, settings, StartMode::Normal).has_value());
        std::filesystem::remove_all(settings.dataFolder);
    }

    // Guards against a replica that goes on after a sync of which it can't be told what it wrote.
    void aFailedSyncStopsTheProcess()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "pistachio-controlnode-XXXXXX").string();
        const std::string folder = ::mkdtemp(pattern.data());
        std::ofstream(folder + "/token") << "token\n";
        Settings::ControlSettings settings;
        settings.instance = InstanceId("control-1");
        settings.zone = ZoneId("z");
        settings.dataFolder = folder + "/data";
        settings.operatorTokenFile = folder + "/token";
        settings.listenInternal = settings.listenOperator = settings.listenWorker = {"127.0.0.1", 0};
        settings.log.file = folder + "/log";
        settings.groups
            = {{GroupId("cell"), {InstanceId("control-1")}, {}}, {GroupId("zone:z"), {InstanceId("control-1")}, {}}};
        {
            Storage::PosixFileSystem files;
            CPPUNIT_ASSERT(files.createFolder(settings.dataFolder).has_value());
            CPPUNIT_ASSERT(claimDataFolder(files, settings, StartMode::Bootstrap).has_value());
            auto node = ControlNode::open(settings, std::make_unique<FailingFileSystem>(), StartMode::Normal);
            CPPUNIT_ASSERT(node.has_value() && node.value()->ports().operators > 0);
            CPPUNIT_ASSERT(ControlNode::open(settings, std::make_unique<Storage::PosixFileSystem>(), StartMode::Normal)
                               .has_error());
            CPPUNIT_ASSERT_EQUAL(1, node.value()->run());
        }
        std::ifstream log(folder + "/log");
        const std::string text{std::istreambuf_iterator<char>(log), {}};
        CPPUNIT_ASSERT_MESSAGE(text, text.find("injected: the disk does not sync") != std::string::npos);
        std::filesystem::remove_all(folder);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlnodeTest);
