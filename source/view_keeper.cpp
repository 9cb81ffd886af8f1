#include "view_keeper.hpp"

namespace aniseline {

std::optional<PackedView> ViewKeeper::work(const ViewWork& work) {
    if (work.restart) {
        auto read = unpack<Ledger>(*work.restart);
        ledger = read ? std::move(read.value()) : Ledger{};  // one that can't be read has stopped the core already
    }
    for (const auto& payload : work.records)
        if (auto record = unpack<Record>(payload)) ledger.fold(record.value());
    if (!work.pack) return std::nullopt;
    return PackedView{*work.pack, pack(ledger)};
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ViewKeeperTests){};

// The view is the fold of just what was handed over, and a restart leaves nothing of what was before.
TEST(ViewKeeperTests, packsWhatItWasGivenAndBeginsAnew) {
    auto allowed = [](const char* id) {
        JobSubmission job;
        job.id = JobId{id};
        job.queue = QueueName{"q"};
        job.steps = {{"s", {}, false, {TaskRequest{}}}};
        return pack(Record{ClusterTime{5}, JobAllowed{job}});
    };
    ViewKeeper keeper;
    CHECK(!keeper.work({std::nullopt, {allowed("a")}, std::nullopt}));
    const auto first = keeper.work({std::nullopt, {allowed("b")}, LogIndex{2}});
    LONGS_EQUAL(2, first->index.value);
    LONGS_EQUAL(2, unpack<Ledger>(first->state).value().jobs.size());
    const auto second = keeper.work({pack(Ledger{}), {allowed("c")}, LogIndex{9}});
    LONGS_EQUAL(1, unpack<Ledger>(second->state).value().jobs.count(JobId{"c"}));
    LONGS_EQUAL(1, unpack<Ledger>(second->state).value().jobs.size());
}
#endif
