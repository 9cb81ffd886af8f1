#include "promises.hpp"

namespace aniseline {

namespace {

struct Run {
    std::string minion, attempt;
    std::int64_t startedAt = 0;
    std::optional<std::int64_t> endedAt;
    bool active = false;  // neither held nor ended
    std::vector<std::pair<std::int64_t, std::int64_t>> spans;  // in which it ran, the last one open while it runs
    void pause(std::int64_t at) {
        if (active) spans.back().second = at;
        active = false;
    }
    void resume(std::int64_t at) {
        if (!active) spans.emplace_back(at, std::numeric_limits<std::int64_t>::max());
        active = true;
    }
    void end(std::int64_t at, std::string how) {
        pause(at);
        endedAt = at;
        ending = std::move(how);
    }
    std::int64_t activeBy(std::int64_t at) const {
        std::int64_t sum = 0;
        for (const auto& [from, to] : spans) sum += std::max<std::int64_t>(0, std::min(to, at) - from);
        return sum;
    }
    std::string ending;
    bool trial = false;
    std::uint32_t cores = 0;
    std::uint64_t memory = 0;
};
struct TaskHistory {
    std::vector<Run> runs;
    std::optional<std::int64_t> finishedAt;   // the work ended well
    std::optional<std::int64_t> confirmedAt;  // and its minion knows that the centre knows
};
struct JobHistory {
    std::optional<std::int64_t> acceptedAt, cancelledAt;
    std::size_t submissions = 0, rejections = 0;
    bool over = false, explained = false;
    std::map<std::uint32_t, TaskHistory> tasks;
};

class Checker {
public:
    Checker(std::vector<Witness> given, const std::map<std::string, JobSubmission>& submissions, const PromiseOptions& options)
        : history(std::move(given)), submissions(submissions), options(options) {
        std::stable_sort(history.begin(), history.end(), [](auto& left, auto& right) { return left.at < right.at; });
    }
    Findings check() {
        findDisturbances();
        for (const auto& witness : history) see(witness);
        if (!history.empty()) judgeSilence(history.back().at);
        return std::move(found);
    }

private:
    // Without a fault a gang's parts begin within little more than a round of syncs, with one within term, margin and a round trip.
    static constexpr std::int64_t calmGang = 700, disturbedGang = 5000;
    static constexpr std::int64_t aftermath = 6000;  // a fault's consequences: term, margin and a change of leader

    void broken(int rule, std::int64_t at, std::string text) { found.broken.push_back({rule, at, std::move(text)}); }
    void limit(int rule, std::int64_t at, std::string text) { found.limits.push_back({rule, at, std::move(text)}); }

    void findDisturbances() {
        std::map<std::string, std::int64_t> open;
        for (const auto& witness : history)
            if (witness.kind == Witness::Kind::disturbed) open.emplace(witness.detail, witness.at);
            else if (witness.kind == Witness::Kind::mended) {
                if (auto begun = open.find(witness.detail); begun != open.end()) {
                    disturbances.emplace_back(begun->second, witness.at + aftermath);
                    open.erase(begun);
                }
            } else if (witness.kind == Witness::Kind::whole) {
                for (const auto& [name, begun] : open) disturbances.emplace_back(begun, witness.at + aftermath);
                open.clear();
            }
        for (const auto& [name, begun] : open) disturbances.emplace_back(begun, std::numeric_limits<std::int64_t>::max());
    }
    bool disturbedWithin(std::int64_t from, std::int64_t to) const {
        return std::any_of(disturbances.begin(), disturbances.end(), [&](const auto& span) { return span.first <= to && from <= span.second; });
    }
    bool termless(const std::string& minion) const {
        auto known = capacities.find(minion);
        return known != capacities.end() && known->second.detail == "termless";
    }

    // What no later line can show: things that never came. docs/design.md 11.
    void judgeSilence(std::int64_t end) {
        if (wholeSince) broken(12, end, "service was never seen again after all was whole, " + std::to_string(end - *wholeSince) + " ms before the history ends");
        for (auto& [id, job] : jobs) {
            if (job.submissions > 0 && job.rejections == job.submissions && !job.tasks.empty() && !job.tasks.begin()->second.runs.empty())
                broken(3, job.tasks.begin()->second.runs.front().startedAt, "job " + id + " was rejected on every try, yet ran");
            if (settledAt && job.acceptedAt && !job.over && !job.explained)
                broken(2, *settledAt, "job " + id + " was accepted and is neither over nor explained");
            for (auto& [place, task] : job.tasks)
                for (auto& run : task.runs)
                    if (!run.endedAt && run.active) keptRunning(job, nameOf(id, place), run, end);
            if (const auto* submission = submissionOf(id))
                for (std::uint32_t step = 0; step < submission->steps.size(); ++step)
                    if (submission->steps[step].gang) gangAlone(id, job, *submission, step, end);
        }
    }
    void keptRunning(const JobHistory& job, const std::string& what, const Run& run, std::int64_t at) {
        if (!job.cancelledAt || at <= *job.cancelledAt + 4000 + options.slack) return;
        const std::string text = what + " kept running " + std::to_string(at - *job.cancelledAt) + " ms after its cancel";
        // A cut-off minion that honours no terms can't be told and does not hold: docs/operations.md 8.
        if (termless(run.minion) && disturbedWithin(*job.cancelledAt, *job.cancelledAt + 4000)) limit(5, at, text + ", on a minion without terms");
        else broken(5, at, text);
    }
    // A part that ran on while another of its gang neither ran nor was done.
    void gangAlone(const std::string& id, JobHistory& job, const JobSubmission& submission, std::uint32_t step, std::int64_t end) {
        const auto first = firstTask(submission, step);
        const auto after = std::uint32_t(first + submission.steps[step].tasks.size());
        for (auto part = first; part < after; ++part)
            for (const auto& run : job.tasks[part].runs)
                for (auto other = first; other < after; ++other) {
                    const auto& beside = job.tasks[other];
                    if (other == part || (beside.finishedAt && *beside.finishedAt <= run.startedAt)) continue;
                    std::int64_t until = run.endedAt.value_or(end);
                    for (const auto& with : beside.runs)
                        if (!with.endedAt || *with.endedAt >= run.startedAt) until = std::min(until, std::max(with.startedAt, run.startedAt));
                    const bool calm = !disturbedWithin(run.startedAt - disturbedGang, until);
                    const std::int64_t alone = run.activeBy(until);
                    if (alone <= (calm ? calmGang : disturbedGang) + options.slack) continue;
                    broken(8, run.startedAt, nameOf(id, part) + " ran for " + std::to_string(alone) + " ms while " + nameOf(id, other) + " did not begin" + (calm ? ", with no fault about" : ""));
                    break;
                }
    }

    const JobSubmission* submissionOf(const std::string& id) const {
        auto exact = submissions.find(id);
        if (exact == submissions.end()) exact = submissions.find(id.substr(0, id.find('@')));
        return exact == submissions.end() ? nullptr : &exact->second;
    }
    static std::string nameOf(const std::string& job, std::uint32_t task) { return "task " + std::to_string(task) + " of " + job; }
    Run* runOf(const Witness& witness) {
        for (auto& run : jobs[witness.job].tasks[witness.task].runs)
            if (run.attempt == witness.attempt && run.minion == witness.minion && !run.endedAt) return &run;
        return nullptr;
    }
    std::pair<std::uint32_t, std::uint32_t> placeOf(const JobSubmission& job, std::uint32_t task) const {
        std::uint32_t step = 0;
        while (step < job.steps.size() && task >= job.steps[step].tasks.size()) task -= std::uint32_t(job.steps[step++].tasks.size());
        return {step, task};
    }
    std::uint32_t firstTask(const JobSubmission& job, std::uint32_t step) const {
        std::uint32_t first = 0;
        for (std::uint32_t at = 0; at < step; ++at) first += std::uint32_t(job.steps[at].tasks.size());
        return first;
    }

    void see(const Witness& witness) {
        switch (witness.kind) {
            case Witness::Kind::submitted: {
                auto& job = jobs[witness.job];
                ++job.submissions;
                break;
            }
            case Witness::Kind::accepted:
                if (auto& job = jobs[witness.job]; !job.acceptedAt) job.acceptedAt = witness.at;
                break;
            case Witness::Kind::rejected: ++jobs[witness.job].rejections; break;
            case Witness::Kind::unknown: break;
            case Witness::Kind::cancelAcknowledged:
                if (auto& job = jobs[witness.job]; !job.cancelledAt) job.cancelledAt = witness.at;
                break;
            case Witness::Kind::shown: shown(witness); break;
            case Witness::Kind::started: started(witness); break;
            case Witness::Kind::held:
                if (auto* run = runOf(witness)) run->pause(witness.at);
                break;
            case Witness::Kind::resumed: resumed(witness); break;
            case Witness::Kind::ended: ended(witness); break;
            case Witness::Kind::confirmed: confirmed(witness); break;
            case Witness::Kind::vanished: vanished(witness); break;
            case Witness::Kind::leaving: leavingSince.emplace(witness.minion, witness.at); break;
            case Witness::Kind::staying: leavingSince.erase(witness.minion); break;
            case Witness::Kind::explained: jobs[witness.job].explained = true; break;
            case Witness::Kind::settled: settledAt = witness.at; break;
            case Witness::Kind::disturbed:
            case Witness::Kind::mended:
            case Witness::Kind::closed: break;
            case Witness::Kind::capacity: capacities[witness.minion] = witness; leavingSince.erase(witness.minion); break;
            case Witness::Kind::setupAcknowledged:
                if (witness.version <= lastSetup) broken(11, witness.at, "setup " + std::to_string(witness.version) + " was acknowledged after " + std::to_string(lastSetup));
                lastSetup = witness.version;
                setups.emplace_back(witness.at, witness.version);
                break;
            case Witness::Kind::setupSeen: {
                // A process that is cut off can't know; what the leader answers is judged always.
                const bool judged = witness.detail == "the leader" || !disturbedWithin(witness.at - 2000, witness.at);
                for (const auto& [at, version] : setups)
                    if (judged && at + 2000 + options.slack < witness.at && version > witness.version)
                        return broken(11, witness.at, "setup " + std::to_string(witness.version) + " is in force at " + witness.detail + " long after " + std::to_string(version) + " was acknowledged");
                auto& seen = seenSetup[witness.detail];
                if (witness.version < seen) broken(11, witness.at, "setup slipped back at " + witness.detail);
                seen = witness.version;
                break;
            }
            case Witness::Kind::whole: wholeSince = witness.at; break;
            case Witness::Kind::served:
                if (wholeSince && witness.at - *wholeSince > 12'000 + options.slack) broken(12, witness.at, "service returned only after " + std::to_string(witness.at - *wholeSince) + " ms of being whole");
                wholeSince.reset();
                break;
        }
    }

    void shown(const Witness& witness) {
        auto& job = jobs[witness.job];
        job.over = witness.detail == "finished" || witness.detail == "failed" || witness.detail == "cancelled";
        if (witness.detail == "missing") {
            if (job.acceptedAt && witness.at > *job.acceptedAt + 3000) broken(2, witness.at, "job " + witness.job + " was accepted and is reported missing");
        } else if (witness.detail == "finished") {
            if (const auto* submission = submissionOf(witness.job); submission && !submission->timed()) {
                std::uint32_t total = firstTask(*submission, std::uint32_t(submission->steps.size()));
                for (std::uint32_t task = 0; task < total; ++task) {
                    auto known = job.tasks.find(task);
                    if (known == job.tasks.end() || !known->second.finishedAt || *known->second.finishedAt > witness.at + options.slack)
                        return broken(4, witness.at, "job " + witness.job + " is shown as finished while " + nameOf(witness.job, task) + " is open");
                    for (const auto& run : known->second.runs)
                        if (!run.endedAt && run.active) broken(4, witness.at, "job " + witness.job + " is shown as finished while " + nameOf(witness.job, task) + " still runs on " + run.minion);
                }
            }
        }
    }

    void started(const Witness& witness) {
        auto& job = jobs[witness.job];
        auto& task = job.tasks[witness.task];
        const std::string what = nameOf(witness.job, witness.task);
        for (const auto& run : task.runs)
            if (!run.endedAt && run.active) broken(1, witness.at, what + " runs on " + witness.minion + " and still on " + run.minion);
        if (task.confirmedAt) broken(1, witness.at, what + " starts again after finishing well");
        else if (task.finishedAt) startedUnaware(witness, task, what);
        if (job.cancelledAt && witness.at > *job.cancelledAt + 3000 + options.slack) broken(5, witness.at, what + " starts long after its job was cancelled");
        if (auto left = leavingSince.find(witness.minion); left != leavingSince.end() && witness.at > left->second + 2000 + options.slack)
            broken(9, witness.at, what + " starts on " + witness.minion + ", which is leaving");
        if (const auto* submission = submissionOf(witness.job)) {
            const auto [step, within] = placeOf(*submission, witness.task);
            if (step >= submission->steps.size()) return broken(3, witness.at, what + " is none of the job's tasks");
            for (const auto& before : submission->steps[step].after)
                for (std::uint32_t other = 0; other < submission->steps.size(); ++other)
                    if (submission->steps[other].name == before) {
                        const auto first = firstTask(*submission, other);
                        for (std::uint32_t at = first; at < first + submission->steps[other].tasks.size(); ++at)
                            if (!job.tasks[at].finishedAt) broken(6, witness.at, what + " starts before step " + before + " is done");
                    }
            if (submission->timed()) {
                const auto mark = witness.job.find('@');
                const auto count = mark == std::string::npos ? 0 : std::strtoll(witness.job.c_str() + mark + 1, nullptr, 10);
                const auto due = submission->timetable.first.milliseconds + count * submission->timetable.every.milliseconds;
                if (witness.at + options.slack < due) broken(6, witness.at, what + " starts " + std::to_string(due - witness.at) + " ms early");
            }
            if (auto allowed = options.retriesOf.find(submission->queue.value); allowed != options.retriesOf.end()) {
                std::size_t counted = 1;
                for (const auto& run : task.runs) counted += run.ending != "ran_out";
                if (counted > 1 + allowed->second) broken(7, witness.at, what + " starts for the " + std::to_string(counted) + "th time with " + std::to_string(allowed->second) + " retries allowed");
            }
        }
        Run run;
        run.minion = witness.minion;
        run.attempt = witness.attempt;
        run.startedAt = witness.at;
        run.resume(witness.at);
        run.trial = witness.trial;
        run.cores = witness.cores;
        run.memory = witness.memory;
        task.runs.push_back(run);
        room(witness);
    }

    // The work had ended well, but its minion had no chance to tell, or no answer: docs/design.md 5.5.
    void startedUnaware(const Witness& witness, const TaskHistory& task, const std::string& what) {
        const auto done = std::find_if(task.runs.begin(), task.runs.end(), [](const Run& run) { return run.ending == "finished"; });
        if (done == task.runs.end()) return;
        auto lost = vanishedAt.find(done->minion);
        const std::string text = what + " starts again after an ending that was not yet confirmed: ";
        if (lost != vanishedAt.end() && lost->second >= *task.finishedAt) limit(1, witness.at, text + done->minion + " vanished before it was");
        else if (disturbedWithin(*task.finishedAt, witness.at)) limit(1, witness.at, text + done->minion + " could not tell in time");
        else broken(1, witness.at, text + "and nothing was in the way");
    }

    void resumed(const Witness& witness) {
        auto* run = runOf(witness);
        if (!run) return;
        for (auto& other : jobs[witness.job].tasks[witness.task].runs)
            if (&other != run && !other.endedAt && other.active) broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed on " + witness.minion + " while it runs on " + other.minion);
        if (jobs[witness.job].tasks[witness.task].confirmedAt) broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed after finishing well");
        run->resume(witness.at);
        room(witness);
    }

    void ended(const Witness& witness) {
        auto& job = jobs[witness.job];
        auto& task = job.tasks[witness.task];
        for (auto& run : task.runs)
            if (run.attempt == witness.attempt && run.minion == witness.minion && !run.endedAt) {
                if (run.active) keptRunning(job, nameOf(witness.job, witness.task), run, witness.at);
                run.end(witness.at, witness.detail);
            }
        if (witness.detail == "finished" && !task.finishedAt) task.finishedAt = witness.at;
    }
    // docs/design.md 5.5: an ending is final once the minion has its confirmation; before that nobody else can know of it.
    void confirmed(const Witness& witness) {
        auto& task = jobs[witness.job].tasks[witness.task];
        if (witness.detail == "finished" && !task.confirmedAt) task.confirmedAt = witness.at;
    }

    void vanished(const Witness& witness) {
        vanishedAt[witness.minion] = witness.at;
        for (auto& [id, job] : jobs)
            for (auto& [place, task] : job.tasks)
                for (auto& run : task.runs)
                    if (run.minion == witness.minion && !run.endedAt) run.end(witness.at, "vanished");
    }

    void room(const Witness& witness) {
        auto capacity = capacities.find(witness.minion);
        if (capacity == capacities.end() || capacity->second.guards) return;
        std::uint64_t cores = 0, memory = 0;
        for (const auto& [id, job] : jobs)
            for (const auto& [place, task] : job.tasks)
                for (const auto& run : task.runs)
                    if (run.minion == witness.minion && !run.endedAt) {
                        memory += run.memory;
                        if (run.active) cores += run.cores;
                    }
        if (cores > capacity->second.cores || memory > capacity->second.memory)
            broken(10, witness.at, witness.minion + " was given " + std::to_string(cores) + " cores and " + std::to_string(memory) + " MB, more than it holds");
    }

    std::vector<Witness> history;
    const std::map<std::string, JobSubmission>& submissions;
    const PromiseOptions& options;
    std::map<std::string, JobHistory> jobs;
    std::map<std::string, std::int64_t> leavingSince;
    std::map<std::string, Witness> capacities;
    std::vector<std::pair<std::int64_t, std::uint64_t>> setups;
    std::map<std::string, std::uint64_t> seenSetup;
    std::uint64_t lastSetup = 0;
    std::optional<std::int64_t> wholeSince, settledAt;
    std::map<std::string, std::int64_t> vanishedAt;
    std::vector<std::pair<std::int64_t, std::int64_t>> disturbances;
    Findings found;
};

}  // namespace

Findings checkPromises(std::vector<Witness> history, const std::map<std::string, JobSubmission>& submissions, const PromiseOptions& options) {
    return Checker(std::move(history), submissions, options).check();
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
JobSubmission twoSteps() {
    JobSubmission job;
    job.id = JobId{"a"};
    job.queue = QueueName{"q"};
    job.steps = {{"first", {}, true, {TaskRequest{}, TaskRequest{}}}, {"second", {"first"}, false, {TaskRequest{}}}};
    return job;
}
Witness line(Witness::Kind kind, std::int64_t at, std::uint32_t task = 0, std::string minion = "m", std::string attempt = "1", std::string detail = "") {
    Witness witness;
    witness.kind = kind;
    witness.at = at;
    witness.job = "a";
    witness.task = task;
    witness.minion = std::move(minion);
    witness.attempt = std::move(attempt);
    witness.detail = std::move(detail);
    witness.cores = 1;
    witness.memory = 1;
    return witness;
}
using K = Witness::Kind;
// A run with nothing wrong: both parts of the gang, then the second step.
std::vector<Witness> goodRun() {
    auto capacity = line(K::capacity, 1);
    capacity.cores = 4;
    capacity.memory = 100;
    return {capacity, line(K::submitted, 10), line(K::accepted, 11), line(K::started, 20, 0), line(K::started, 21, 1, "m", "2"),
            line(K::ended, 100, 0, "m", "1", "finished"), line(K::confirmed, 105, 0, "m", "1", "finished"),
            line(K::ended, 110, 1, "m", "2", "finished"), line(K::confirmed, 115, 1, "m", "2", "finished"),
            line(K::started, 200, 2, "m", "3"), line(K::ended, 300, 2, "m", "3", "finished"), line(K::shown, 400, 0, "", "", "finished")};
}
Findings findingsOf(std::vector<Witness> history, const JobSubmission& job = twoSteps()) {
    PromiseOptions options;
    options.retriesOf["q"] = 0;
    options.slack = 0;
    return checkPromises(std::move(history), {{"a", job}}, options);
}
std::set<int> rulesOf(const std::vector<BrokenPromise>& promises) {
    std::set<int> rules;
    for (const auto& promise : promises) rules.insert(promise.rule);
    return rules;
}
std::set<int> rulesBroken(std::vector<Witness> history, const JobSubmission& job = twoSteps()) {
    return rulesOf(findingsOf(std::move(history), job).broken);
}
std::vector<Witness> with(std::vector<Witness> more) {
    auto history = goodRun();
    history.insert(history.end(), more.begin(), more.end());
    return history;
}
}  // namespace

TEST_GROUP(PromiseTests){};

TEST(PromiseTests, aGoodRunBreaksNothing) { CHECK(rulesBroken(goodRun()).empty()); }

// Each rule catches a planted violation, docs/design.md 11.
TEST(PromiseTests, eachRuleCatchesAPlantedViolation) {
    CHECK(rulesBroken(with({line(K::started, 50, 0, "n", "9")})).count(1));             // twice at once
    CHECK(rulesBroken(with({line(K::started, 500, 0, "n", "9")})).count(1));            // again after finishing well
    CHECK(rulesBroken(with({line(K::shown, 4000, 0, "", "", "missing")})).count(2));    // forgotten
    CHECK(rulesBroken({line(K::submitted, 1), line(K::rejected, 2), line(K::started, 3)}).count(3));
    CHECK(rulesBroken(with({line(K::shown, 150, 0, "", "", "finished")})).count(4));    // shown finished too early
    CHECK(rulesBroken({line(K::submitted, 1), line(K::accepted, 2), line(K::cancelAcknowledged, 3), line(K::started, 4000)}).count(5));
    CHECK(rulesBroken({line(K::started, 1), line(K::cancelAcknowledged, 3), line(K::ended, 5000, 0, "m", "1", "finished")}).count(5));
    CHECK(rulesBroken({line(K::started, 30, 2)}).count(6));                             // before its step may
    auto timed = twoSteps();
    timed.timetable.first = ClusterTime{1000};
    CHECK(rulesBroken({line(K::started, 900)}, timed).count(6));                        // early
    CHECK(rulesBroken({line(K::started, 1), line(K::ended, 2, 0, "m", "1", "failed"), line(K::started, 3, 0, "m", "2")}).count(7));
    CHECK(!rulesBroken({line(K::started, 1), line(K::ended, 2, 0, "m", "1", "ran_out"), line(K::started, 3, 0, "m", "2")}).count(7));
    CHECK(rulesBroken({line(K::started, 1), line(K::started, 900, 1, "m", "2"), line(K::ended, 2000, 0)}).count(8));
    CHECK(rulesBroken({line(K::leaving, 1), line(K::started, 2100)}).count(9));
    auto tight = line(K::capacity, 1);
    tight.cores = 1;
    tight.memory = 1;
    CHECK(rulesBroken({tight, line(K::started, 2, 0), line(K::started, 3, 1, "m", "2")}).count(10));
    auto acknowledged = line(K::setupAcknowledged, 1), seen = line(K::setupSeen, 2500, 0, "", "", "sluice");
    acknowledged.version = 2;
    seen.version = 1;
    CHECK(rulesBroken({acknowledged, seen}).count(11));
    CHECK(rulesBroken({line(K::whole, 1), line(K::served, 12'100)}).count(12));
}

// What no line says is found all the same: things that never came.
TEST(PromiseTests, silencePassesForNothing) {
    const auto late = line(K::shown, 9000, 0, "", "", "open");
    CHECK(rulesBroken({line(K::whole, 1), late}).count(12));                                          // service never returned
    CHECK(rulesBroken({line(K::started, 1), line(K::cancelAcknowledged, 3), late}).count(5));         // never ended after its cancel
    CHECK(rulesBroken({line(K::started, 1), line(K::ended, 4000, 0, "m", "1", "finished")}).count(8));  // ran to its end, alone
    CHECK(!rulesBroken({line(K::started, 1), line(K::ended, 600, 0, "m", "1", "stopped")}).count(8));
    CHECK(rulesBroken({line(K::submitted, 1), line(K::accepted, 2), line(K::settled, 60'000)}).count(2));
    CHECK(!rulesBroken({line(K::submitted, 1), line(K::accepted, 2), line(K::explained, 3), line(K::settled, 60'000)}).count(2));
    CHECK(rulesBroken(with({line(K::started, 111, 1, "n", "9")})).count(1));                         // ended well, nothing in the way, yet again
    // A part may run alone longer while a fault is about, but not for ever.
    const auto fault = line(K::disturbed, 1);
    CHECK(!rulesBroken({fault, line(K::started, 10), line(K::ended, 4000, 0, "m", "1", "stopped")}).count(8));
    CHECK(rulesBroken({fault, line(K::started, 10), line(K::ended, 6000, 0, "m", "1", "stopped")}).count(8));
}

// What nobody can lift is told apart, with its cause, and only where the cause is there.
TEST(PromiseTests, limitsAreCountedByThemselves) {
    const std::vector<Witness> unaware{line(K::started, 20), line(K::ended, 100, 0, "m", "1", "finished"), line(K::vanished, 101), line(K::started, 5000, 0, "n", "2")};
    CHECK(rulesOf(findingsOf(unaware).limits).count(1));
    CHECK(!rulesBroken(unaware).count(1));
    auto capacity = line(K::capacity, 1);
    capacity.cores = capacity.memory = 9;
    capacity.detail = "termless";
    const std::vector<Witness> deaf{capacity, line(K::started, 2), line(K::disturbed, 3), line(K::cancelAcknowledged, 4), line(K::ended, 9000, 0, "m", "1", "finished")};
    CHECK(rulesOf(findingsOf(deaf).limits).count(5));
    CHECK(!rulesBroken(deaf).count(5));
    auto calm = deaf;
    calm.erase(calm.begin() + 2);
    CHECK(rulesBroken(calm).count(5));
}
#endif
