#include "controller/controller.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ControllerTests){};

// A view whose checksum is right but whose content this version can't read is not taken for an
// empty state.
TEST(ControllerTests, anUnreadableViewStopsIt) {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.whole = true;
  record.term = Term{3};
  record.snapshot = Snapshot{LogIndex{9},
                             Term{3},
                             {Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, true}},
                             "of another version"};
  record.first = LogIndex{10};
  Controller controller(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1,
                        {record}, MonotonicTime{0});
  CHECK(controller.damaged());
  for (std::int64_t now = 0; now < 5000; now += 10)
    controller.step(MonotonicTime{now}, WallTime{now});
  CHECK(!controller.raftNode().leads());
  record.snapshot.state = pack(ClusterState{});
  Controller sound(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1, {record},
                   MonotonicTime{0});
  CHECK(!sound.damaged());
}
