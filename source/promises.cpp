#include "promises.hpp"
#include <picojson.h>

namespace aniseline {

namespace {
constexpr const char* kindNames[] = {"submitted", "accepted", "rejected", "unknown", "shown", "cancel_acknowledged", "started", "held", "resumed",
                                     "ended", "confirmed", "leaving", "capacity", "setup_acknowledged", "setup_seen", "whole", "served", "vanished"};
}
const char* name(Witness::Kind kind) { return kindNames[std::size_t(kind)]; }

std::string Witness::line() const {
    picojson::object shown{{"at", picojson::value(double(at))}, {"kind", picojson::value(name(kind))}};
    auto add = [&](const char* field, const std::string& text) {
        if (!text.empty()) shown[field] = picojson::value(text);
    };
    auto addNumber = [&](const char* field, double number) {
        if (number != 0) shown[field] = picojson::value(number);
    };
    add("job", job);
    add("minion", minion);
    add("attempt", attempt);
    add("detail", detail);
    addNumber("task", task);
    addNumber("version", double(version));
    addNumber("cores", cores);
    addNumber("memory_mb", double(memory));
    if (trial) shown["trial"] = picojson::value(true);
    if (guards) shown["guards"] = picojson::value(true);
    return picojson::value(shown).serialize();
}

std::optional<Witness> Witness::parse(const std::string& line) {
    picojson::value root;
    if (!picojson::parse(root, line).empty() || !root.is<picojson::object>()) return std::nullopt;
    const auto& object = root.get<picojson::object>();
    auto words = [&](const char* field) {
        auto found = object.find(field);
        return found != object.end() && found->second.is<std::string>() ? found->second.get<std::string>() : std::string();
    };
    auto number = [&](const char* field) {
        auto found = object.find(field);
        return found != object.end() && found->second.is<double>() ? found->second.get<double>() : 0.0;
    };
    auto flag = [&](const char* field) {
        auto found = object.find(field);
        return found != object.end() && found->second.is<bool>() && found->second.get<bool>();
    };
    Witness witness;
    const std::string kind = words("kind");
    std::size_t place = 0;
    while (place < std::size(kindNames) && kind != kindNames[place]) ++place;
    if (place == std::size(kindNames)) return std::nullopt;
    witness.kind = Kind(place);
    witness.at = std::int64_t(number("at"));
    witness.job = words("job");
    witness.task = std::uint32_t(number("task"));
    witness.minion = words("minion");
    witness.attempt = words("attempt");
    witness.detail = words("detail");
    witness.version = std::uint64_t(number("version"));
    witness.cores = std::uint32_t(number("cores"));
    witness.memory = std::uint64_t(number("memory_mb"));
    witness.trial = flag("trial");
    witness.guards = flag("guards");
    return witness;
}

namespace {

struct Run {
    std::string minion, attempt;
    std::int64_t startedAt = 0;
    std::optional<std::int64_t> endedAt;
    bool active = true;  // neither held nor ended
    std::int64_t activeSince = 0, activeBefore = 0;
    std::int64_t activeBy(std::int64_t at) const { return activeBefore + (active && !endedAt ? at - activeSince : 0); }
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
    std::optional<std::int64_t> firstSubmitted, acceptedAt, cancelledAt;
    std::size_t submissions = 0, rejections = 0, others = 0;
    std::map<std::uint32_t, TaskHistory> tasks;
};

class Checker {
public:
    Checker(std::vector<Witness> given, const std::map<std::string, JobSubmission>& submissions, const PromiseOptions& options)
        : history(std::move(given)), submissions(submissions), options(options) {
        std::stable_sort(history.begin(), history.end(), [](auto& left, auto& right) { return left.at < right.at; });
    }
    std::vector<BrokenPromise> check() {
        for (const auto& witness : history) see(witness);
        for (auto& [id, job] : jobs) {
            if (job.submissions > 0 && job.rejections > 0 && job.rejections == job.submissions && !job.tasks.empty())
                broken(3, job.tasks.begin()->second.runs.front().startedAt, "job " + id + " was rejected on every try, yet ran");
        }
        return std::move(found);
    }

private:
    void broken(int rule, std::int64_t at, std::string text) { found.push_back({rule, at, std::move(text)}); }
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
                if (!job.firstSubmitted) job.firstSubmitted = witness.at;
                ++job.submissions;
                break;
            }
            case Witness::Kind::accepted:
                if (auto& job = jobs[witness.job]; !job.acceptedAt) job.acceptedAt = witness.at;
                break;
            case Witness::Kind::rejected: ++jobs[witness.job].rejections; break;
            case Witness::Kind::unknown: ++jobs[witness.job].others; break;
            case Witness::Kind::cancelAcknowledged:
                if (auto& job = jobs[witness.job]; !job.cancelledAt) job.cancelledAt = witness.at;
                break;
            case Witness::Kind::shown: shown(witness); break;
            case Witness::Kind::started: started(witness); break;
            case Witness::Kind::held:
                if (auto* run = runOf(witness)) {
                    run->activeBefore = run->activeBy(witness.at);
                    run->active = false;
                }
                break;
            case Witness::Kind::resumed: resumed(witness); break;
            case Witness::Kind::ended: ended(witness); break;
            case Witness::Kind::confirmed: confirmed(witness); break;
            case Witness::Kind::vanished: vanished(witness); break;
            case Witness::Kind::leaving: leavingSince.emplace(witness.minion, witness.at); break;
            case Witness::Kind::capacity: capacities[witness.minion] = witness; leavingSince.erase(witness.minion); break;
            case Witness::Kind::setupAcknowledged:
                if (witness.version <= lastSetup) broken(11, witness.at, "setup " + std::to_string(witness.version) + " was acknowledged after " + std::to_string(lastSetup));
                lastSetup = witness.version;
                setups.emplace_back(witness.at, witness.version);
                break;
            case Witness::Kind::setupSeen: {
                for (const auto& [at, version] : setups)
                    if (at + 2000 + options.slack < witness.at && version > witness.version)
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
        if (witness.detail == "missing") {
            if (job.acceptedAt && witness.at > *job.acceptedAt + 3000) broken(2, witness.at, "job " + witness.job + " was accepted and is reported missing");
        } else if (witness.detail == "finished") {
            if (const auto* submission = submissionOf(witness.job); submission && !submission->timed()) {
                std::uint32_t total = firstTask(*submission, std::uint32_t(submission->steps.size()));
                for (std::uint32_t task = 0; task < total; ++task) {
                    auto known = job.tasks.find(task);
                    if (known == job.tasks.end() || !known->second.finishedAt || *known->second.finishedAt > witness.at + options.slack)
                        return broken(4, witness.at, "job " + witness.job + " is shown as finished while " + nameOf(witness.job, task) + " is open");
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
            // A gang's parts start within the bound of docs/design.md 7.3 of each other.
            if (submission->steps[step].gang) gangStarts(witness, *submission, step);
        }
        Run run;
        run.minion = witness.minion;
        run.attempt = witness.attempt;
        run.startedAt = run.activeSince = witness.at;
        run.trial = witness.trial;
        run.cores = witness.cores;
        run.memory = witness.memory;
        task.runs.push_back(run);
        room(witness);
    }

    void gangStarts(const Witness& witness, const JobSubmission& submission, std::uint32_t step) {
        // Alone too long: another part ran, unheld and unended, for longer than the bound before this one began.
        const auto first = firstTask(submission, step);
        for (std::uint32_t at = first; at < first + submission.steps[step].tasks.size(); ++at) {
            if (at == witness.task) continue;
            for (const auto& run : jobs[witness.job].tasks[at].runs)
                if (!run.endedAt && run.active && run.activeBy(witness.at) > 6000 + options.slack)
                    broken(8, witness.at, nameOf(witness.job, at) + " ran alone for " + std::to_string(run.activeBy(witness.at)) + " ms");
        }
    }

    void resumed(const Witness& witness) {
        auto* run = runOf(witness);
        if (!run) return;
        for (auto& other : jobs[witness.job].tasks[witness.task].runs)
            if (&other != run && !other.endedAt && other.active) broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed on " + witness.minion + " while it runs on " + other.minion);
        if (jobs[witness.job].tasks[witness.task].confirmedAt) broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed after finishing well");
        if (!run->active) run->activeSince = witness.at;
        run->active = true;
        room(witness);
    }

    void ended(const Witness& witness) {
        auto& job = jobs[witness.job];
        auto& task = job.tasks[witness.task];
        for (auto& run : task.runs)
            if (run.attempt == witness.attempt && run.minion == witness.minion && !run.endedAt) {
                run.endedAt = witness.at;
                run.ending = witness.detail;
                if (job.cancelledAt && run.active && witness.at > std::max(*job.cancelledAt, run.startedAt) + 4000 + options.slack)
                    broken(5, witness.at, nameOf(witness.job, witness.task) + " kept running " + std::to_string(witness.at - *job.cancelledAt) + " ms after its cancel");
            }
        if (witness.detail == "finished" && !task.finishedAt) task.finishedAt = witness.at;
    }
    // docs/design.md 5.5: an ending is final once the minion has its confirmation; before that nobody else can know of it.
    void confirmed(const Witness& witness) {
        auto& task = jobs[witness.job].tasks[witness.task];
        if (witness.detail == "finished" && !task.confirmedAt) task.confirmedAt = witness.at;
    }

    void vanished(const Witness& witness) {
        for (auto& [id, job] : jobs)
            for (auto& [place, task] : job.tasks)
                for (auto& run : task.runs)
                    if (run.minion == witness.minion && !run.endedAt) {
                        run.endedAt = witness.at;
                        run.ending = "vanished";
                    }
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
    std::optional<std::int64_t> wholeSince;
    std::vector<BrokenPromise> found;
};

}  // namespace

std::vector<BrokenPromise> checkPromises(std::vector<Witness> history, const std::map<std::string, JobSubmission>& submissions, const PromiseOptions& options) {
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
std::set<int> rulesBroken(std::vector<Witness> history, const JobSubmission& job = twoSteps()) {
    PromiseOptions options;
    options.retriesOf["q"] = 0;
    options.slack = 0;
    std::set<int> rules;
    for (const auto& promise : checkPromises(std::move(history), {{"a", job}}, options)) rules.insert(promise.rule);
    return rules;
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
    CHECK(rulesBroken({line(K::started, 1), line(K::started, 7000, 1, "m", "2")}).count(8));
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

TEST(PromiseTests, aLineSurvivesItsWriting) {
    const auto given = goodRun()[3];
    STRCMP_EQUAL(given.line().c_str(), Witness::parse(given.line())->line().c_str());
    CHECK(!Witness::parse("{\"at\":1,\"kind\":\"sung\"}"));
}
#endif
