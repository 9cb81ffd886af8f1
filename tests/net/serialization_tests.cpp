// Tests that packed values of every kind can be unpacked unchanged, and that truncated or damaged
// bytes never cause a crash. docs/design.md 9.3.
#include "net/wire.hpp"
#include "state/cluster_state_fixture.hpp"
#include <boost/mpl/size.hpp>

using namespace aniseline;

namespace {

// Checks that unpacking and packing again gives the same bytes, and that truncation at any position
// is an error.
template <class Value>
void checkRoundTrip(const Value& value) {
  const std::string bytes = pack(value);
  auto read = unpack<Value>(bytes);
  CHECK_TEXT(read.has_value(), read ? "" : read.error().text().c_str());
  CHECK(pack(read.value()) == bytes);
  for (std::size_t length = 0; length<bytes.size(); length += bytes.size()> 20'000 ? 97 : 1) {
    auto truncated = unpack<Value>(std::string_view(bytes).substr(0, length));
    CHECK(!truncated.has_value());
    CHECK(truncated.error().kind == CoreError::Kind::invalid);
  }
}

// The checksum normally detects damaged bytes. If damage remains undetected, unpacking has to give
// some value or an error.
template <class Value>
void checkDamage(const Value& value) {
  const std::string bytes = pack(value);
  for (std::size_t position = 0; position < bytes.size(); ++position)
    for (const int mask : {0x01, 0x80, 0xff}) {
      std::string damaged = bytes;
      damaged[position] = char(damaged[position] ^ mask);
      if (auto read = unpack<Value>(damaged))
        CHECK(pack(read.value()).size() > 0);
      else
        CHECK(read.error().kind == CoreError::Kind::invalid);
    }
}

template <class Variant>
void checkAllKindsCovered(const std::vector<Variant>& values) {
  std::set<int> kinds;
  for (const auto& value : values)
    kinds.insert(value.which());
  LONGS_EQUAL(long(boost::mpl::size<typename Variant::types>::value), long(kinds.size()));
}

std::string everyByte() {
  std::string all;
  for (int letter = 0; letter < 256; ++letter)
    all.push_back(char(letter));
  return all;
}

JobSubmission submission() {
  JobSubmission value;
  value.id = JobId{"job"};
  value.queue = QueueName{"q"};
  StepRequirements needs;
  needs.requiredLabel = "fast";
  needs.preferredRack = "rack";
  needs.maxPerWorker = 2;
  needs.longRunning = true;
  value.steps = {ClusterStateFixture::step(3), ClusterStateFixture::gang(2, 500, needs)};
  value.steps[0].tasks[1].payload = everyByte();
  value.steps[1].dependencies = {"0"};
  value.timetable = Timetable{ClusterTime{5}, Duration{6}, 7};
  value.payload = "for all";
  value.tenant = TenantName{"tenant"};
  return value;
}

// Returns a config with tenants, which are appended to the text of the fixture.
std::string configText() {
  std::string text = ClusterStateFixture::configText;
  text.erase(text.rfind('}'));
  return text + R"(,"tenants":{"north":{"api_keys":["k"],"cap":{"cores":2}},"south":{}}})";
}

Capacity capacity() {
  Capacity value;
  value.cores = 4000;
  value.memory = 1024;
  value.zone = ZoneName{"zone"};
  value.rack = "rack";
  value.labels = {"fast", ""};
  value.host = "host";
  value.supportsSuspend = false;
  value.selfAssemblingGangs = true;
  return value;
}

std::vector<Event> eventOfEachKind() {
  PlanMade plan;
  plan.number = PlanNumber{3};
  for (std::uint32_t task = 0; task < 20; ++task) {
    Action action;
    action.kind = ActionKind(task % 5);
    action.attempt = AttemptNumber{task};
    action.job = JobId{"job"};
    action.taskIndex = task;
    action.worker = WorkerId{"worker" + std::to_string(task)};
    action.redundantCopy = task == 4;
    action.reason = task == 5 ? everyByte() : "";
    plan.actions.push_back(action);
  }
  plan.reservation =
      Reservation{JobId{"other"}, 1, ClusterTime{9}, {Placement{2, WorkerId{"worker2"}}}, 4};
  return {LeaderStarted{},
          ConfigCommitted{ClusterConfig::parse(configText()).value()},
          JobAccepted{submission()},
          JobCancelled{JobId{"job"}},
          OccurrenceFired{JobId{"job"}},
          JobsExpired{{JobId{"a"}, JobId{""}}, {JobId{"c"}}, {WorkerId{"d"}}},
          WorkerRegistered{WorkerId{"a"}, Incarnation{2}, capacity()},
          WorkerSynced{WorkerId{"a"},
                       OrderNumber{3},
                       {{AttemptNumber{1}, AttemptOutcome::quantumExpired, "saved"},
                        {AttemptNumber{2}, AttemptOutcome::failed}},
                       {{AttemptNumber{4}, everyByte()}}},
          WorkerDrainStarted{WorkerId{"a"}, Duration{-4}, true},
          WorkerDrainDeadlinePassed{WorkerId{"a"}},
          WorkerReconnected{WorkerId{"a"}},
          WorkerUnreachable{WorkerId{"a"}, {AttemptNumber{5}, AttemptNumber{~0ull}}},
          WorkerRemoved{WorkerId{"a"}, "reason"},
          plan,
          ControllerReplacementRequested{ControllerId{"r"}, true},
          JobFailed{JobId{"job"}, "reason"}};
}

std::vector<PeerBody> peerBodyOfEachKind() {
  const Member member{ControllerId{"r"}, Address{"r:1"}, ZoneName{"zone"}, true};
  const SnapshotIdentity identity{LogIndex{8}, Term{2}, 300, 12345};
  return {RequestVote{Term{1}, true, false, LogIndex{2}, Term{3}},
          RequestVoteReply{Term{1}, false, true},
          AppendEntries{Term{3},
                        LogIndex{4},
                        Term{2},
                        {LogEntry{Term{3}, false, everyByte()},
                         LogEntry{Term{3}, true, pack(Membership{member})}},
                        LogIndex{4},
                        RoundNumber{9},
                        LogIndex{3}},
          AppendEntriesReply{Term{1}, true, LogIndex{2}, LogIndex{3}, RoundNumber{4}, WallTime{5}},
          InstallSnapshot{Term{3}, identity, 3, everyByte(), RoundNumber{2}},
          InstallSnapshotReply{Term{3}, identity, 4, RoundNumber{2}, WallTime{5}},
          AppendEntryChunk{Term{3}, LogIndex{4}, Term{2}, LogIndex{3}, Term{2}, true, 600, 7,
                           everyByte(), RoundNumber{2}},
          AppendEntryChunkReply{Term{3}, LogIndex{5}, Term{2}, 263, RoundNumber{2}, WallTime{5}},
          TimeoutNow{Term{7}},
          JoinRequest{member},
          RemovedFromCluster{Term{6}, LogIndex{3}, {member}}};
}

SyncReport report() {
  SyncReport value;
  value.id = WorkerId{"a"};
  value.capacity = capacity();
  value.results = {{AttemptNumber{1}, AttemptOutcome::rejected, ""}};
  value.wantsPackedResponse = true;
  value.runResults = {{TaskRunId{JobId{"j"}, 1, 2, 3, 4}, AttemptOutcome::quantumExpired, "saved"}};
  value.checkpoints = {{TaskRunId{JobId{"k"}, 5, 6, 7, 8}, everyByte()}};
  return value;
}

std::vector<WireBody> wireBodyOfEachKind() {
  ApiRequest submit, sync, show;
  submit.kind = RequestKind::submitJob;
  submit.job = submission();
  sync.kind = RequestKind::syncWorker;
  sync.report = report();
  show.kind = RequestKind::showJob;
  show.targetId = "job";
  SyncResponse syncResponse;
  syncResponse.term = Term{4};
  syncResponse.orders.resize(3);
  syncResponse.orders[1].payload = everyByte();
  syncResponse.confirmedAttempts = {AttemptNumber{3}};
  ApiResponse answer = ApiResponse::outcomeUnknown("text");
  answer.body = pack(syncResponse);
  answer.leader = Address{"r:1"};
  const LeaderRoute route{Term{1},
                          Address{"r:1"},
                          {Address{"r:1"}, Address{"r:2"}},
                          {GatewayEndpoint{Address{"s:1"}, ZoneName{"zone"}}},
                          ConfigVersion{2},
                          {QueueName{"q"}}};
  return {PeerMessage{ControllerId{"a"}, ControllerId{"b"}, Address{"b:1"}, peerBodyOfEachKind()[2],
                      Address{"a:1"}},
          submit,
          sync,
          show,
          answer,
          RouteQuery{GatewayEndpoint{Address{"s:1"}, ZoneName{"zone"}}, Address{"f:1"}},
          RouteReply{route, ControllerId{"r"}, Address{"r:1"}, ZoneName{"zone"}, false, true, false,
                     Address{"f:1"}},
          BootstrapRequest{}};
}

}  // namespace

TEST_GROUP(Serialization){};

TEST(Serialization, everyRecordKindRoundTripsAndTruncationIsAnError) {
  const auto events = eventOfEachKind();
  checkAllKindsCovered(events);
  for (const auto& event : events) {
    const LogRecord record{ClusterTime{1234567}, event};
    checkRoundTrip(record);
    LONGS_EQUAL(event.which(), unpack<LogRecord>(pack(record)).value().event.which());
  }
}

TEST(Serialization, everyMessageKindRoundTripsAndTruncationIsAnError) {
  const auto peers = peerBodyOfEachKind();
  checkAllKindsCovered(peers);
  for (const auto& body : peers)
    checkRoundTrip(WireMessage{7, PeerMessage{ControllerId{"a"}, ControllerId{"b"}, Address{"b:1"},
                                              body, Address{"a:1"}}});
  const auto bodies = wireBodyOfEachKind();
  checkAllKindsCovered(bodies);
  for (const auto& body : bodies)
    checkRoundTrip(WireMessage{8, body});
}

TEST(Serialization, clusterStatesAndDiskRecordsRoundTripAndTruncationIsAnError) {
  ClusterStateFixture cluster;
  for (const char* worker : {"a", "b", "c"})
    cluster.registerWorker(worker);
  for (int job = 0; job < 12; ++job) {
    cluster.submit("job" + std::to_string(job),
                   {ClusterStateFixture::step(1 + job % 5, 300, {}, job % 4 == 0),
                    ClusterStateFixture::step(2)});
    cluster.now += 70;
    if (job % 3 == 0)
      cluster.planAndRun();
  }
  cluster.endAttempt("job0", AttemptOutcome::failed, 0, everyByte());
  checkRoundTrip(cluster.clusterState);
  WriteAheadRecord record;
  record.version = DiskVersion{5};
  record.holdsSnapshot = true;
  record.snapshot = Snapshot{LogIndex{8}, Term{2}, {}, pack(cluster.clusterState)};
  record.entries = {LogEntry{Term{3}, false, "entry"}};
  checkRoundTrip(record);
}

TEST(Serialization, damagedBytesGiveAValueOrAnError) {
  for (const auto& event : eventOfEachKind())
    checkDamage(LogRecord{ClusterTime{1}, event});
  for (const auto& body : peerBodyOfEachKind())
    checkDamage(body);
  for (const auto& body : wireBodyOfEachKind())
    checkDamage(WireMessage{9, body});
}

// The packed bytes contain only the values. A change to these bytes is a change of format, which
// requires new format numbers in net/data_folder.cpp and net/wire.hpp.
TEST(Serialization, packedBytesContainOnlyTheValues) {
  using namespace std::string_literals;
  CHECK(pack(LogRecord{ClusterTime{7}, JobCancelled{JobId{"ab"}}}) ==
        "\7\0\0\0\0\0\0\0"
        "\3\0\0\0"
        "\2\0\0\0\0\0\0\0"
        "ab"s);
  CHECK(pack(std::vector<Term>{Term{1}, Term{2}}) ==
        "\2\0\0\0\0\0\0\0"
        "\1\0\0\0\0\0\0\0"
        "\2\0\0\0\0\0\0\0"s);
  CHECK(pack(RequestVoteReply{Term{1}, true, false}) ==
        "\1\0\0\0\0\0\0\0"
        "\1\0"s);
  CHECK(!unpack<RequestVoteReply>("\1\0\0\0\0\0\0\0"
                                  "\1\2"s)
             .has_value());
  CHECK(!unpack<PeerBody>("\13\0\0\0"
                          "\1\0\0\0\0\0\0\0"s)
             .has_value());
  CHECK(!unpack<std::vector<Term>>("\0\0\0\0\0\0\0\1"s).has_value());
  CHECK(!unpack<std::string>("\xff\xff\xff\xff\xff\xff\xff\xff"
                             "ab"s)
             .has_value());
}

// The id of a cluster is a trailing section, which an older program ignores.
TEST(Serialization, theClusterOfAMessageIsTransmitted) {
  PeerMessage message{ControllerId{"a"},       ControllerId{"b"}, Address{"b:1"},
                      peerBodyOfEachKind()[2], Address{"a:1"},    ClusterId{"first"}};
  RouteReply reply;
  reply.view.cluster = ClusterId{"first"};
  ApiRequest request;
  request.kind = RequestKind::syncWorker;
  request.cluster = ClusterId{"first"};
  const auto received = [](const WireBody& body) {
    return std::move(decode(encode(WireMessage{7, body})).value().body);
  };
  STRCMP_EQUAL("first", boost::get<PeerMessage>(received(message)).cluster.value.c_str());
  STRCMP_EQUAL("first", boost::get<RouteReply>(received(reply)).view.cluster.value.c_str());
  STRCMP_EQUAL("first", boost::get<ApiRequest>(received(request)).cluster.value.c_str());
}

// A process of an earlier version sends no known configuration and ignores the one that it gets.
TEST(Serialization, theKnownConfigurationOfARouteQueryIsTransmittedBehindTheEarlierForm) {
  const RouteQuery plain{GatewayEndpoint{Address{"s:1"}, ZoneName{"zone"}}, Address{"f:1"}, true};
  RouteQuery extended = plain;
  extended.knownConfig = ConfigVersion{7};
  const std::string plainBytes = pack(WireMessage{7, plain});
  const std::string extendedBytes = pack(WireMessage{7, extended});
  CHECK(extendedBytes.starts_with(plainBytes));
  LONGS_EQUAL(plainBytes.size() + sizeof(std::uint64_t), extendedBytes.size());
  const auto received = decode(encode(WireMessage{7, extended}));
  LONGS_EQUAL(7, boost::get<RouteQuery>(received.value().body).knownConfig.value);
  const auto earlier = decode(encode(WireMessage{7, plain}));
  LONGS_EQUAL(0, boost::get<RouteQuery>(earlier.value().body).knownConfig.value);
}
