// Tests of a single controller: unreadable snapshots and the limit on pending requests.
#include "controller/controller.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ControllerTests){};

// A snapshot with a correct checksum whose content this version can't decode must not be treated as
// an empty state.
TEST(ControllerTests, unreadableSnapshotStopsController) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{3};
  record.snapshot = Snapshot{LogIndex{9},
                             Term{3},
                             {Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, true}},
                             "of another version"};
  record.firstIndex = LogIndex{10};
  Controller controller(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1,
                        {record}, MonotonicTime{0});
  CHECK(controller.hasUnreadableState());
  for (std::int64_t now = 0; now < 5000; now += 10)
    controller.step(MonotonicTime{now}, WallTime{now});
  CHECK(!controller.raftNode().isLeader());
  record.snapshot.state = pack(ClusterState{});
  Controller readable(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1,
                      {record}, MonotonicTime{0});
  CHECK(!readable.hasUnreadableState());
}

// While nothing can be committed, requests of hundreds of KB are accepted only up to a limit in
// bytes. Those beyond the limit are answered as not applied, so they can be repeated.
// docs/design.md 3.4.
TEST(ControllerTests, pendingRequestsAreLimitedInBytes) {
  constexpr std::size_t configBytes = 318'000;
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{3};
  const Member self{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, true};
  record.firstIndex = LogIndex{1};
  record.entries.push_back({Term{1}, true, pack(Membership{self})});
  Controller controller(self, {}, 1, {record}, MonotonicTime{0});
  std::int64_t now = 0;
  for (; now < 5000; now += 10) {
    controller.step(MonotonicTime{now}, WallTime{now});
    while (auto write = controller.takeWrite())
      controller.onRecordSynced(write->version, MonotonicTime{now});
  }
  CHECK(controller.raftNode().canServe());
  std::size_t rejectedCount = 0;
  constexpr std::size_t updateCount = 600;
  for (std::size_t count = 0; count < updateCount; ++count, ++now) {
    ClusterConfig config;
    config.text = std::string(configBytes, 'c') + std::to_string(count);
    ApiRequest request;
    request.kind = RequestKind::applyConfig;
    request.baseVersion = ConfigVersion{count - rejectedCount};
    request.packedConfig = pack(config);
    controller.submitRequest(RequestNumber{count + 1}, std::move(request), MonotonicTime{now});
    controller.step(MonotonicTime{now}, WallTime{now});  // no write completes
    for (const auto& [number, response] : controller.takeResponses()) {
      LONGS_EQUAL(503, response.status);
      ++rejectedCount;
    }
  }
  CHECK_COMPARE((updateCount - rejectedCount) * configBytes, <=, std::size_t(17'000'000));
  CHECK_COMPARE(rejectedCount, <, updateCount - 20);
  for (; now < 20'000; now += 10) {
    controller.step(MonotonicTime{now}, WallTime{now});
    while (auto write = controller.takeWrite())
      controller.onRecordSynced(write->version, MonotonicTime{now});
  }
  LONGS_EQUAL(updateCount - rejectedCount, controller.committed().config().version.value);
  LONGS_EQUAL(0, controller.pendingBytes());
}
