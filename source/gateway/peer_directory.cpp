#include "gateway/peer_directory.hpp"

namespace aniseline {

namespace {
constexpr Duration comeBackAfter{10'000};  // to a preferred one that had failed
}

PeerDirectory::PeerDirectory(std::vector<Address> given, std::uint64_t spread) : seeds(std::move(given)), seedTurn(std::size_t(spread % seeds.size())) {}

void PeerDirectory::learn(const std::vector<Address>& inForce) {
    if (inForce.empty() || inForce == learned) return;
    // One that is being asked goes on being asked where it is still in force.
    const Address asked = place < learned.size() ? learned[place] : Address{};
    learned = inForce;
    const auto found = std::find(learned.begin(), learned.end(), asked);
    place = found == learned.end() ? 0 : std::size_t(found - learned.begin());
}

const Address& PeerDirectory::current(MonotonicTime now) {
    if (place > 0 && !learned.empty() && now - failedAt > comeBackAfter) place = 0;
    return place < learned.size() ? learned[place] : seeds[seedTurn];
}

void PeerDirectory::failed(MonotonicTime now) {
    failedAt = now;
    if (place >= learned.size()) {
        seedTurn = (seedTurn + 1) % seeds.size();
        place = 0;
    } else ++place;
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(PeerDirectoryTests) {
    PeerDirectory book{{Address{"s:1"}, Address{"s:2"}, Address{"s:3"}}, 0};
    std::string walk(int steps, std::int64_t now = 0) {
        std::string text;
        for (int step = 0; step < steps; ++step) {
            text += book.current(MonotonicTime{now}).value + " ";
            book.failed(MonotonicTime{now});
        }
        return text;
    }
};

TEST(PeerDirectoryTests, everySeedIsTriedAndLearnedOnesGoFirst) {
    STRCMP_EQUAL("s:1 s:2 s:3 s:1 ", walk(4).c_str());
    book.learn({Address{"n:1"}, Address{"n:2"}});
    STRCMP_EQUAL("n:1 n:2 s:2 n:1 n:2 s:3 ", walk(6).c_str());
}

// All of the first addresses replaced: what was learned is asked, and a preferred one again after a while.
TEST(PeerDirectoryTests, survivesTheLossOfAllFirstContacts) {
    book.learn({Address{"own:1"}, Address{"far:1"}});
    book.failed(MonotonicTime{100});
    STRCMP_EQUAL("far:1", book.current(MonotonicTime{200}).value.c_str());
    book.learn({Address{"new:1"}, Address{"own:1"}, Address{"far:1"}});
    STRCMP_EQUAL("far:1", book.current(MonotonicTime{300}).value.c_str());
    STRCMP_EQUAL("new:1", book.current(MonotonicTime{10'101}).value.c_str());
}
#endif
