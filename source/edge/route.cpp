#include "edge/route.hpp"
#include <urcu.h>

#if defined(__SANITIZE_THREAD__)
// liburcu's grace periods are not visible to the thread sanitizer; this says what they order.
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
static char graceMark;
#define ANISELINE_GRACE_RELEASE() __tsan_release(&graceMark)
#define ANISELINE_GRACE_ACQUIRE() __tsan_acquire(&graceMark)
#else
#define ANISELINE_GRACE_RELEASE() (void)0
#define ANISELINE_GRACE_ACQUIRE() (void)0
#endif

namespace aniseline {

RouteBoard::RouteBoard() : current(new RouteView) {}
RouteBoard::~RouteBoard() { delete current.load(); }
RouteReader::RouteReader() { rcu_register_thread(); }
RouteReader::~RouteReader() { rcu_unregister_thread(); }
void RouteBoard::lockRead() { rcu_read_lock(); }
void RouteBoard::unlockRead() {
    ANISELINE_GRACE_RELEASE();
    rcu_read_unlock();
}

bool RouteBoard::publish(const RouteView& view) {
    const RouteView* before = current.load(std::memory_order_acquire);
    auto next = std::make_unique<RouteView>(*before);
    if (!next->takeNewer(view)) return false;
    current.store(next.release(), std::memory_order_release);
    synchronize_rcu();
    ANISELINE_GRACE_ACQUIRE();
    delete before;
    return true;
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
#include <thread>
using namespace aniseline;

TEST_GROUP(RouteBoardTests){};

// Under the thread sanitizer this fails when a view is freed under a reader.
TEST(RouteBoardTests, readersNeverSeeAFreedOrOlderView) {
    RouteBoard board;
    std::atomic<bool> over{false};
    std::atomic<int> slips{0};
    std::vector<std::thread> readers;
    for (int count = 0; count < 3; ++count)
        readers.emplace_back([&] {
            RouteReader reader;
            std::uint64_t seen = 0;
            while (!over) {
                const auto epoch = board.read([](const RouteView& view) { return view.epoch.value + view.reservoirs.size() * 0; });
                if (epoch < seen) ++slips;
                seen = epoch;
            }
        });
    for (std::uint64_t epoch = 1; epoch <= 300; ++epoch) {
        RouteView view;
        view.epoch = Epoch{epoch};
        view.reservoirs.assign(3, Address{"127.0.0.1:1"});
        CHECK(board.publish(view));
        view.epoch = Epoch{epoch - 1};
        CHECK(!board.publish(view));
    }
    over = true;
    for (auto& reader : readers) reader.join();
    LONGS_EQUAL(0, slips.load());
}
#endif
