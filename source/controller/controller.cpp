#include "controller/controller.hpp"
#include <cmath>

namespace aniseline {

Controller::Controller(Member self, ControllerOptions options, std::uint64_t seed, const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : options(options), raft(std::move(self), options.raft, seed, restored, now), now(now) {
    if (raft.snapshotIndex().value > 0) restoreSnapshot(raft.snapshot());
}

void Controller::restoreSnapshot(const Snapshot& snapshot) {
    auto state = unpack<ClusterState>(snapshot.state);
    if (state) committedState = std::move(state.value());
    else unreadable = true;
    appliedIndex = snapshot.index;
    snapshotWork = SnapshotWork{snapshot.state, {}, std::nullopt};
    packing = false;
}

ClusterTime Controller::clusterNow() const { return clusterBase + (now - clusterBaseAt); }

// Truth is the log: nothing is changed but by a record of it. docs/design.md 3.2.
LogIndex Controller::append(Event event) {
    LogRecord record{std::max(clusterNow(), speculative().now), std::move(event)};
    const LogIndex index = raft.propose(pack(record), now);
    speculative().apply(record);
    planWanted = true;
    expect(record.event);
    proposals.push_back({index, raft.term(), std::move(record)});
    return index;
}

// What may bring a lapse, a leaving's end or an occurrence nearer than was reckoned.
void Controller::expect(const Event& event) {
    const auto& kind = event.type();
    if (kind == typeid(WorkerRegistered) || kind == typeid(WorkerLeaves) || kind == typeid(WorkerLeaveOver) || kind == typeid(WorkerReturned) ||
        kind == typeid(WorkerSilent) || kind == typeid(WorkerGone)) workersChanged = true;
    const auto* allowed = boost::get<JobAccepted>(&event);
    if (kind == typeid(OccurrenceFired) || (allowed && allowed->submission.timed())) nextFiring = ClusterTime{};
}

void Controller::followLog() {
    if (raft.takeInstalled()) {
        restoreSnapshot(raft.snapshot());
        emitLogEvent("view installed", {{"index", json(appliedIndex.value)}});
    }
    while (appliedIndex < raft.commitIndex()) {
        appliedIndex = appliedIndex.next();
        const LogEntry& entry = raft.entry(appliedIndex);
        if (entry.members) continue;
        if (applyCommitted(entry)) snapshotWork.records.push_back(entry.payload);
        else {
            unreadable = true;
            emitLogEvent("unreadable record", {{"index", json(appliedIndex.value)}});
        }
    }
}

bool Controller::applyCommitted(const LogEntry& entry) {
    while (!proposals.empty() && proposals.front().index < appliedIndex) proposals.pop_front();
    if (!proposals.empty() && proposals.front().index == appliedIndex && proposals.front().term == entry.term) {
        committedState.apply(proposals.front().record);
        proposals.pop_front();
        return true;
    }
    auto record = unpack<LogRecord>(entry.payload);
    if (record) committedState.apply(record.value());
    return record.has_value();
}

void Controller::followRole() {
    if (raft.leads() && (!speculativeState || ledTerm != raft.term())) {
        ledTerm = raft.term();
        speculativeState = committedState;
        for (LogIndex index = appliedIndex.next(); index <= raft.last(); index = index.next()) {
            const LogEntry& entry = raft.entry(index);
            if (entry.members) continue;
            if (auto record = unpack<LogRecord>(entry.payload)) speculative().apply(record.value());
            else unreadable = true;
        }
        leaderSince = now;
        clusterBase = speculative().now;
        clusterBaseAt = now;
        contacts.clear();
        ordersSent.clear();
        unresponsive.clear();
        reported.clear();
        committedLately.clear();
        backlog = Backlog{};
        paces.clear();
        urgentDemand.clear();
        shortenedTo = ClusterTime{};
        workersChanged = true;
        nextFiring = ClusterTime{};
        proposals.clear();
        committedState.addressed.clear();
        for (const auto& [worker, places] : polls) pollsToLook.insert(places.begin(), places.end());
        append(LeaderStarted{});
        emitLogEvent("leads", {{"term", json(ledTerm.value)}, {"last", json(raft.last().value)}});
    } else if (!raft.leads() && speculativeState) {
        speculativeState.reset();
        wasServing = false;
        emitLogEvent("leads no more", {{"term", json(raft.term().value)}});
        for (const auto& [place, record] : requests)
            answer(record, record.logged && record.request.kind != RequestKind::sync ? ApiResponse::unknown("the leader changed while this was under way; ask again") : notLeader());
        proposals.clear();
        requests.clear();
        taken.clear();
        unanswered.clear();
        polls.clear();
        pollsToLook.clear();
        pollsDue.clear();
    }
}

ApiResponse Controller::notLeader() const {
    ApiResponse answer = ApiResponse::error(503, "unknown", "this controller does not lead", Duration{200});
    answer.notLeader = true;
    for (const auto& member : raft.members())
        if (member.id == raft.leader() && member.id != raft.self().id) answer.leader = member.peer;
    return answer;
}

void Controller::answer(const PendingRequest& record, ApiResponse given) { answers.emplace_back(record.number, std::move(given)); }

void Controller::take(RequestNumber number, ApiRequest request, MonotonicTime at) {
    PendingRequest record;
    record.number = number;
    record.request = std::move(request);
    record.deadline = at + options.answerWithin;
    if (!speculativeState || !raft.leads()) return answer(record, notLeader());
    if (!hasRoomFor(record.request))
        return answer(record, ApiResponse::error(429, "overloaded", "too many requests are under way", Duration{1000}));
    record.place = ++lastPlace;
    taken.push_back(record.place);
    unanswered.insert(record.place);
    requests.emplace(record.place, std::move(record));
}
// docs/design.md 10: the config in force says which queues are urgent.
bool Controller::hasRoomFor(const ApiRequest& request) const {
    const auto* queue = committedState.config.queue(request.job.queue);
    const bool plain = request.kind == RequestKind::submitJob && !(queue && queue->urgency > 0);
    return roomFor(request.kind, plain, requests.size(), options.maxPendingRequests);
}

// An answer rests on the speculative state, so it leaves only when all that cluster state holds is committed and a round
// begun after the request came has been confirmed by a majority. docs/design.md 8.2.
void Controller::decide(PendingRequest& record, ApiResponse given, bool logged) {
    record.stage = Stage::decided;
    record.answer = std::move(given);
    record.logged = logged;
    record.barrier = raft.last();
    record.round = raft.startRound(now);
}

void Controller::step(MonotonicTime at, WallTime wall) {
    if (unreadable) return;
    now = std::max(now, at);
    raft.tick(now, wall);
    followLog();
    followRole();
    if (speculativeState && raft.serves()) {
        if (!wasServing) {
            wasServing = true;
            emitLogEvent("serves", {{"term", json(raft.term().value)}});
        }
        if (auto wallNow = raft.agreedWall(now); wallNow && wallNow->milliseconds > clusterNow().milliseconds) {
            clusterBase = ClusterTime{wallNow->milliseconds};
            clusterBaseAt = now;
        }
        admitRequests();
        expireLeases();
        fireTimetables();
        expireJobs();
        failHopelessJobs();
        planStarts();
        reviewMembership();
        raft.tick(now, wall);  // what was proposed leaves at once
        followLog();
        followRole();
    }
    if (speculativeState) {
        answerPolls();
        answerDecided();
    }
    requestSnapshot();
}

void Controller::admitRequests() {
    for (auto place : std::exchange(taken, {}))
        if (auto found = requests.find(place); found != requests.end()) handle(found->second);
}

// docs/design.md 6.6: the leader's config is the newest there is, so what comes by an entrance is never judged by an older one.
bool Controller::enter(PendingRequest& record) {
    ApiRequest& request = record.request;
    const ClusterConfig& config = speculative().config;
    if (!config.version.value) return decide(record, ApiResponse::notTaken("there is no config yet"), false), false;
    const auto* entrance = config.entrance(request.host, request.path);
    if (!entrance) return decide(record, ApiResponse::error(404, "no_queue", "no queue is entered there"), false), false;
    request.id = request.path.substr(entrance->prefix.size());
    request.job.queue = entrance->queue;
    request.job.id = JobId{request.id};
    if (request.kind == RequestKind::showPhase && request.id.empty()) request.kind = RequestKind::countWaiting;
    if (request.kind == RequestKind::submitJob)
        if (auto faults = request.job.faults(); !faults.empty()) return decide(record, ApiResponse::from(CoreError{CoreError::Kind::invalid, std::move(faults)}), false), false;
    return true;
}

void Controller::handle(PendingRequest& record) {
    if (record.request.byEntrance() && !enter(record)) return;
    const ApiRequest& request = record.request;
    switch (request.kind) {
        case RequestKind::submitJob: return handleSubmit(record);
        case RequestKind::cancelJob: return handleCancel(record);
        case RequestKind::applyConfig: return handleConfig(record);
        case RequestKind::sync: return handleSync(record);
        case RequestKind::leave:
        case RequestKind::drain:
        case RequestKind::undrain:
        case RequestKind::declareGone: return handleWorkerOrder(record);
        case RequestKind::showJob: {
            auto found = speculative().jobs.find(JobId{request.id});
            if (found == speculative().jobs.end()) return decide(record, ApiResponse::error(404, "missing", "no job " + request.id), false);
            return decide(record, ApiResponse::of(200, showJob(found->second)), false);
        }
        case RequestKind::showPhase: return decide(record, showPhase(JobId{request.id}), false);
        case RequestKind::countWaiting: {
            ApiResponse answer;
            auto found = speculative().openByQueue.find(request.job.queue);
            answer.number = found == speculative().openByQueue.end() ? 0 : found->second;
            return decide(record, std::move(answer), false);
        }
        case RequestKind::readConfig: {
            if (!speculative().config.version.value) return decide(record, ApiResponse::error(404, "missing", "there is no config yet"), false);
            ApiResponse answer;
            answer.body = speculative().config.text;
            return decide(record, std::move(answer), false);
        }
        case RequestKind::listJobs: return decide(record, ApiResponse::of(200, listJobs(request)), false);
        case RequestKind::showConfig: {
            picojson::object shown{{"version", json(speculative().config.version.value)}};
            picojson::value config;
            if (!speculative().config.text.empty() && picojson::parse(config, speculative().config.text).empty()) shown["config"] = config;
            return decide(record, ApiResponse::of(200, shown), false);
        }
        case RequestKind::listWorkers: return decide(record, ApiResponse::of(200, showWorkers()), false);
        case RequestKind::showCluster: return decide(record, ApiResponse::of(200, showCluster()), false);
        case RequestKind::showPlan: return decide(record, ApiResponse::of(200, showPlan()), false);
        case RequestKind::showCounters: return decide(record, ApiResponse::of(200, showCounters()), false);
        case RequestKind::replaceController: {
            const ControllerId id{request.id};
            for (const auto& member : raft.members())
                if (member.id == id && id != raft.self().id) {
                    const bool wanted = !speculative().toReplace.count(id);
                    if (wanted) append(ControllerReplacementRequested{id, false});
                    return decide(record, ApiResponse::of(202, {{"replacing", json(request.id)}}), wanted);
                }
            return decide(record, id == raft.self().id ? ApiResponse::error(409, "conflict", "it leads; stop it first so that leadership moves")
                                                            : ApiResponse::error(404, "missing", "no member " + request.id), false);
        }
        case RequestKind::exportState: {
            picojson::array jobs;
            for (const auto& [id, job] : speculative().jobs) jobs.push_back(json(showJob(job)));
            return decide(record, ApiResponse::of(200, {{"jobs", json(jobs)}, {"cluster_time_ms", json(clusterNow().milliseconds)}}), false);
        }
    }
}

void Controller::handleSubmit(PendingRequest& record) {
    const JobSubmission& job = record.request.job;
    auto accepted = [&] { return ApiResponse::of(202, {{"id", json(job.id.value)}, {"accepted", json(true)}}); };
    auto found = speculative().jobs.find(job.id);
    if (found != speculative().jobs.end()) {
        if (found->second.digest == job.digest()) return decide(record, accepted(), false);
        return decide(record, ApiResponse::error(409, "conflict", "job " + job.id.value + " exists with other content"), false);
    }
    const auto* queue = speculative().config.queue(job.queue);
    if (!queue || queue->closed)
        return decide(record, ApiResponse::from(CoreError::at(CoreError::Kind::invalid, "/queue", "the config has no queue " + job.queue.value)), false);
    for (std::size_t step = 0; step < job.steps.size() && !record.request.byEntrance(); ++step)
        if (auto never = speculative().neverFits(job, job.steps[step]))
            return decide(record, ApiResponse::from(CoreError::at(CoreError::Kind::invalid, "/steps/" + std::to_string(step), *never)), false);
    // docs/design.md 10: the whole is bounded, and what is reserved to other queues is not for this one.
    std::uint64_t heldBack = 0;
    for (const auto& [name, options] : speculative().config.queues) {
        if (name == job.queue) continue;
        const auto open = speculative().openByQueue[name];
        heldBack += options.reserved > open ? options.reserved - open : 0;
    }
    const auto limit = speculative().config.planner.openLimit;
    const bool full = speculative().open.size() + heldBack >= limit || speculative().openByQueue[job.queue] >= queue->openLimit;
    if (full) return decide(record, ApiResponse::error(429, "overloaded", "queue " + job.queue.value + " is full", Duration{1000}), false);
    if (const Duration wait = hopelessWait(job, *queue); wait.milliseconds) return decide(record, ApiResponse::error(429, "overloaded", "what waits before it would keep it past all use", wait), false);
    append(JobAccepted{job});
    if (queue->urgency > 0) planAtOnce = true;
    decide(record, accepted(), true);
}

// What waits in each pool, in core-milliseconds by urgency, and the cores there are for it. docs/design.md 10.
void Controller::weighBacklog() {
    if (now - backlog.at < Duration{200}) return;
    backlog = Backlog{};
    backlog.at = now;
    for (const auto& [id, worker] : speculative().workers)
        if (worker.open()) backlog.cores[worker.capacity.pool] += worker.capacity.cores;
    for (const auto& id : speculative().open) {
        const Job& job = speculative().jobs.at(id);
        const auto* queue = speculative().config.queue(job.submission.queue);
        if (!queue || job.state != JobState::open) continue;
        double& waiting = backlog.waiting[{queue->pool, queue->urgency}];
        for (const auto& task : job.tasks)
            if (task.state == TaskState::waiting) waiting += double(job.request(task).cores) * double(job.request(task).runtime.milliseconds);
    }
}
// Not 0: a job of this queue would begin so late that it is of no use any more; when to come back. Only where aims are known.
Duration Controller::hopelessWait(const JobSubmission& job, const QueueOptions& queue) {
    if (queue.target.milliseconds <= 0 || job.timed()) return Duration{0};
    weighBacklog();
    const auto cores = backlog.cores.find(queue.pool);
    if (cores == backlog.cores.end()) return Duration{0};
    double before = 0, own = 0;
    for (const auto& [key, waiting] : backlog.waiting)
        if (key.first == queue.pool && key.second >= queue.urgency) before += waiting;
    for (const auto& step : job.steps)
        for (const auto& task : step.tasks) own += double(task.cores) * double(task.runtime.milliseconds);
    const double delay = before / cores->second;
    const double aim = queue.extend * double(job.longestChain().milliseconds) + double(queue.target.milliseconds);
    if (delay > 3 * aim) return Duration{std::clamp<std::int64_t>(std::int64_t(delay - 2 * aim), 500, 3000)};
    backlog.waiting[{queue.pool, queue.urgency}] += own;
    return Duration{0};
}

void Controller::handleCancel(PendingRequest& record) {
    const JobId id{record.request.id};
    auto found = speculative().jobs.find(id);
    if (found == speculative().jobs.end()) return decide(record, ApiResponse::error(404, "missing", "no job " + id.value), false);
    const bool wanted = !found->second.over() && found->second.state != JobState::cancelling;
    if (wanted) append(JobCancelled{id});
    decide(record, ApiResponse::of(200, {{"id", json(id.value)}, {"state", json(name(found->second.state))}}), wanted);
}

void Controller::handleConfig(PendingRequest& record) {
    auto parsed = record.request.parsedConfig.empty() ? ClusterConfig::parse(record.request.text) : unpack<ClusterConfig>(record.request.parsedConfig);
    if (!parsed) return decide(record, ApiResponse::from(parsed.error()), false);
    const ConfigVersion current = speculative().config.version;
    ClusterConfig config = std::move(parsed.value());
    auto taken = [](ConfigVersion version) { return ApiResponse::of(200, {{"version", json(version.value)}}); };
    if ((record.request.baseVersion.next() == current || config.version == current) && current.value && config.text == speculative().config.text) return decide(record, taken(current), false);
    if (record.request.baseVersion != current) {
        ApiResponse answer = ApiResponse::of(409, {{"error", json("conflict")}, {"text", json("config " + std::to_string(current.value) + " is newer than the one this is based on")}, {"version", json(current.value)}});
        return decide(record, answer, false);
    }
    if (config.version.value && config.version <= current)
        return decide(record, ApiResponse::from(CoreError::at(CoreError::Kind::invalid, "/version", "must be above the current one, " + std::to_string(current.value))), false);
    if (!config.version.value) config.version = current.next();
    append(ConfigCommitted{config});
    decide(record, taken(config.version), true);
    emitLogEvent("config taken", {{"version", json(config.version.value)}});
}

void Controller::handleSync(PendingRequest& record) {
    const SyncReport& report = record.request.report;
    auto found = speculative().workers.find(report.id);
    const Worker* known = found == speculative().workers.end() ? nullptr : &found->second;
    if (known && (std::count(known->retired.begin(), known->retired.end(), report.incarnation) ||
                  (known->state == WorkerState::gone && known->incarnation == report.incarnation)))
        return decide(record, ApiResponse::error(410, "gone", "this incarnation is replaced: stop all tasks and begin anew"), false);
    // Two processes with one id would put each other out for ever: while the one that is known is alive the other is told so.
    if (known && known->incarnation != report.incarnation && known->state != WorkerState::gone && now - heardFrom(report.id) < options.aliveWithin) {
        emitLogEvent("worker id in use", {{"worker", json(report.id.value)}});
        return decide(record, ApiResponse::error(409, "conflict", "worker " + report.id.value + " is alive as another process; give each its own id", options.aliveWithin), false);
    }
    bool prompt = false;
    if (!known || known->incarnation != report.incarnation || known->capacity != report.capacity) {
        append(WorkerRegistered{report.id, report.incarnation, report.capacity});
        prompt = true;
    }
    const Worker& worker = speculative().workers.at(report.id);
    auto& waiting = polls[report.id];
    if (!report.packed || report.wait.milliseconds)  // a newer sync that waits takes the place of one that still does
        for (auto other : waiting) {
            requests.at(other).pollUntil = now;
            pollsToLook.insert(other);
        }
    // A unresponsive worker is not in touch, whoever speaks for it: no lease is granted, and it is given up when the last one is over. A report
    // that a later one has overtaken says nothing of that any more. docs/design.md 5.8.
    MonotonicTime& latest = reported[report.id];
    const bool overtaken = report.packed && report.reportedAt < latest;
    latest = std::max(latest, report.reportedAt);
    if (report.unresponsive && !overtaken) {
        const MonotonicTime over = now + report.heldFor + options.unresponsiveMargin;
        auto [known, isNew] = unresponsive.try_emplace(report.id, over);
        if (!isNew) known->second = std::min(known->second, over);
        workersChanged = true;
    } else if (!overtaken) {
        if (unresponsive.erase(report.id)) planWanted = true;
        contacts[report.id] = now;
    }
    if (worker.state == WorkerState::silent && !report.unresponsive && !overtaken) append(WorkerReturned{report.id});
    if (report.leaving && worker.state == WorkerState::present) {
        append(WorkerLeaves{report.id, report.leaveWithin, false});
        emitLogEvent("worker leaves", {{"worker", json(report.id.value)}});
    }
    WorkerSynced synced{report.id, std::min(report.lastOrder, worker.lastOrder), {}};
    for (const auto& ending : report.endings) {
        auto attempt = speculative().attempts.find(ending.attempt);
        if (attempt != speculative().attempts.end() && attempt->second.worker == report.id) synced.endings.push_back(ending);
    }
    for (const auto& ending : report.namedEndings)
        if (auto number = speculative().attemptNamed(report.id, ending.name); number.value) synced.endings.push_back({number, ending.kind, ending.saved});
    recordPace(synced);
    for (const auto& save : report.saves)
        if (auto number = speculative().attemptNamed(report.id, save.name); number.value) synced.saves.emplace_back(number, save.saved);
    if (synced.applied > worker.applied || !synced.endings.empty() || !synced.saves.empty()) append(std::move(synced));
    record.stage = Stage::polling;
    unanswered.erase(record.place);
    waiting.insert(record.place);
    pollsToLook.insert(record.place);
    record.logged = false;
    record.barrier = raft.last();
    record.round = raft.startRound(now);
    record.pollUntil = prompt || !report.endings.empty() || !report.namedEndings.empty() || (report.leaving && !report.packed) ? now : now + std::min(report.wait, options.longestPoll);
    record.deadline = now + options.longestPoll + options.answerWithin;
}

void Controller::handleWorkerOrder(PendingRequest& record) {
    const WorkerId id{record.request.id};
    auto found = speculative().workers.find(id);
    if (found == speculative().workers.end()) return decide(record, ApiResponse::error(404, "missing", "no worker " + id.value), false);
    const Worker& worker = found->second;
    bool logged = true;
    switch (record.request.kind) {
        case RequestKind::leave:
            if (worker.state == WorkerState::present) append(WorkerLeaves{id, record.request.within, false});
            else logged = false;
            break;
        case RequestKind::drain:
            if (worker.state != WorkerState::drained && worker.state != WorkerState::gone) append(WorkerLeaves{id, record.request.within, true});
            else logged = false;
            break;
        case RequestKind::undrain:
            if (worker.state == WorkerState::drained || worker.state == WorkerState::leaving) append(WorkerReturned{id});
            else logged = false;
            break;
        default:
            if (worker.state != WorkerState::gone) append(WorkerGone{id, "declared gone by an operator"});
            else logged = false;
    }
    decide(record, ApiResponse::of(200, {{"worker", json(id.value)}, {"state", json(name(worker.state))}}), logged);
}

MonotonicTime Controller::heardFrom(const WorkerId& id) const {
    auto contact = contacts.find(id);
    return contact == contacts.end() ? leaderSince : std::max(leaderSince, contact->second);
}

// Which tasks of a silent worker are given up by now: their queues may ask for more patience. docs/design.md 5.5.
WorkerSilent Controller::silenceOf(const Worker& worker, MonotonicTime heard) {
    WorkerSilent silent{worker.id, {}};
    if (!worker.capacity.honoursLeases) return silent;
    for (auto number : speculative().attemptsOn(worker.id)) {
        const Attempt& attempt = speculative().attempts.at(number);
        auto job = speculative().jobs.find(attempt.job);
        const auto* queue = job == speculative().jobs.end() ? nullptr : speculative().config.queue(job->second.submission.queue);
        const Duration patience = queue ? queue->replaceAfter : Duration{0};
        auto unheard = unresponsive.find(worker.id);
        const bool over = unheard != unresponsive.end() && now > unheard->second + patience;
        if (!attempt.lost && (over || now - heard > options.lease + options.margin + patience)) silent.givenUp.push_back(number);
    }
    return silent;
}

void Controller::findOverdue() {
    workersChanged = false;
    overdue.clear();
    nextLapse = MonotonicTime{std::numeric_limits<std::int64_t>::max()};
    nextLeaveOver = ClusterTime{std::numeric_limits<std::int64_t>::max()};
    for (const auto& [id, worker] : speculative().workers) {
        if (worker.state == WorkerState::gone) continue;
        MonotonicTime lapse = heardFrom(id) + options.lease + options.margin + Duration{1};
        if (auto unheard = unresponsive.find(id); unheard != unresponsive.end()) lapse = std::min(lapse, unheard->second + Duration{1});
        const bool leaves = (worker.state == WorkerState::leaving || worker.state == WorkerState::drained) && !worker.leaveStopped;
        if (now >= lapse || (leaves && clusterNow() >= worker.leaveBy)) {
            overdue.insert(id);
            continue;
        }
        nextLapse = std::min(nextLapse, lapse);
        if (leaves) nextLeaveOver = std::min(nextLeaveOver, worker.leaveBy);
    }
}

// Leases, leavings, and their ends. docs/design.md 5.4 to 5.7.
void Controller::expireLeases() {
    if (workersChanged || now >= nextLapse || clusterNow() >= nextLeaveOver) findOverdue();
    std::vector<Event> events;
    for (const auto& id : overdue) {
        auto found = speculative().workers.find(id);
        if (found == speculative().workers.end() || found->second.state == WorkerState::gone) continue;
        const Worker& worker = found->second;
        const MonotonicTime heard = heardFrom(id);
        auto unheard = unresponsive.find(id);
        if (now - heard > options.lease + options.margin || (unheard != unresponsive.end() && now > unheard->second)) {
            auto silent = silenceOf(worker, heard);
            if (worker.state == WorkerState::leaving && speculative().attemptsOn(id).empty()) events.push_back(WorkerGone{id, "left"});
            else if (!silent.givenUp.empty() || (worker.state != WorkerState::silent && worker.state != WorkerState::drained)) events.push_back(std::move(silent));
        }
        if ((worker.state == WorkerState::leaving || worker.state == WorkerState::drained) && !worker.leaveStopped && clusterNow() >= worker.leaveBy)
            events.push_back(WorkerLeaveOver{id});
    }
    for (auto& event : events) {
        if (auto* silent = boost::get<WorkerSilent>(&event); silent && speculative().workers.at(silent->worker).state != WorkerState::silent) emitLogEvent("worker silent", {{"worker", json(silent->worker.value)}});
        append(std::move(event));
    }
}

void Controller::fireTimetables() {
    if (clusterNow() < nextFiring) return;
    nextFiring = ClusterTime{std::numeric_limits<std::int64_t>::max()};
    const bool wallKnown = raft.agreedWall(now).has_value();
    std::vector<JobId> due;
    for (const auto& id : speculative().open) {
        const Job& job = speculative().jobs.at(id);
        if (job.state != JobState::timed || job.fired >= job.submission.timetable.count) continue;
        const Timetable& timetable = job.submission.timetable;
        const auto next = timetable.first.milliseconds + std::int64_t(job.fired) * timetable.every.milliseconds;
        nextFiring = std::min(nextFiring, ClusterTime{next});
        if (wallKnown && clusterNow().milliseconds >= next) due.push_back(id);
    }
    for (auto& id : due) append(OccurrenceFired{id});
}

// docs/design.md 4.8: what no worker could ever hold fails, with its cause, rather than wait for ever.
void Controller::failHopelessJobs() {
    if (now < nextHopeless) return;
    nextHopeless = now + Duration{500};
    slowSaid = 0;
    std::vector<JobFailed> hopeless;
    for (const auto& id : speculative().open) {
        const Job& job = speculative().jobs.at(id);
        if (job.state != JobState::open || job.ending) continue;
        recordSlow(job);
        const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) { return task.state == TaskState::waiting && clusterNow() - task.readyAt > Duration{300}; });
        if (!waits) continue;
        for (const auto& step : job.submission.steps)
            if (auto never = speculative().neverFits(job.submission, step)) {
                hopeless.push_back({id, *never});
                break;
            }
    }
    for (auto& failed : hopeless) append(std::move(failed));
    if (saidSlow.size() > 1000) saidSlow.clear();
}

// An alarm for operators: work whose turn has come and that has not begun for long, with what it waits for.
void Controller::recordSlow(const Job& job) {
    constexpr Duration slow{3000};
    constexpr std::size_t atOnce = 3;  // a flood of them says no more, and each costs time when there is least of it
    const JobId& id = job.submission.id;
    if (slowSaid >= atOnce || saidSlow.count(id)) return;
    for (const auto& task : job.tasks) {
        auto attempt = speculative().attempts.find(task.attempt);
        const bool waits = task.state == TaskState::waiting && clusterNow() - std::max(task.readyAt, task.notBefore) > slow;
        const bool ordered = attempt != speculative().attempts.end() && (attempt->second.state == AttemptState::ordered || attempt->second.state == AttemptState::stopping) && clusterNow() - attempt->second.orderedAt > slow + attempt->second.runtime;
        if (!waits && !ordered) continue;
        saidSlow.insert(id);
        ++slowSaid;
        picojson::object fields{{"job", json(id.value)}, {"step", json(task.step)}, {"within", json(task.within)}, {"state", json(name(task.state))}, {"run", json(task.run)}};
        if (attempt != speculative().attempts.end()) {
            fields["attempt"] = json(name(attempt->second.state));
            fields["worker"] = json(attempt->second.worker.value);
        }
        if (speculative().reservation.held()) fields["reserved_for"] = json(speculative().reservation.job.value);
        return emitLogEvent("work waits long", std::move(fields));
    }
}

void Controller::expireJobs() {
    if (now < nextForget) return;
    nextForget = now + Duration{1000};
    // docs/design.md 4.5: finished work never turns new work away; it is kept short, and past the limit the earliest goes.
    constexpr Duration keepWhole{60'000};
    constexpr std::size_t atOnce = 2000;
    const auto& planner = speculative().config.planner;
    JobsExpired forgotten;
    std::size_t kept = speculative().jobs.size();
    for (const auto& [endedAt, id] : speculative().ended) {
        const Duration since = clusterNow() - endedAt;
        const bool goes = since > planner.keepFinished || kept > planner.keepLimit;
        if (!goes || forgotten.jobs.size() >= atOnce) break;
        --kept;
        forgotten.jobs.push_back(id);
    }
    for (auto place = speculative().ended.lower_bound({shortenedTo, JobId{}}); place != speculative().ended.end() && forgotten.shortened.size() < atOnce; ++place) {
        if (clusterNow() - place->first <= keepWhole) break;
        shortenedTo = place->first;
        if (!speculative().jobs.at(place->second).shortenedTasks) forgotten.shortened.push_back(place->second);
    }
    for (const auto& [id, worker] : speculative().workers)
        if (worker.state == WorkerState::gone && clusterNow() - worker.seenAt > speculative().config.planner.keepFinished) forgotten.workers.push_back(id);
    if (!forgotten.jobs.empty() || !forgotten.shortened.empty() || !forgotten.workers.empty()) append(std::move(forgotten));
    std::erase_if(gateways, [&](const auto& entry) { return now - entry.second.heard > Duration{10'000}; });
}

Silence Controller::silence() const {
    Silence known;
    for (const auto& [id, heard] : contacts) known[id] = unresponsive.count(id) ? Duration{60'000} : now - heard;
    return known;
}

void Controller::recordPace(const WorkerSynced& synced) {
    for (const auto& ending : synced.endings) {
        auto attempt = speculative().attempts.find(ending.attempt);
        if (ending.kind != EndingKind::finished || attempt == speculative().attempts.end() || attempt->second.trial()) continue;
        const double ratio = double((clusterNow() - attempt->second.orderedAt).milliseconds) / double(std::max<std::int64_t>(50, attempt->second.runtime.milliseconds));
        Pace& pace = paces[synced.worker];
        pace.value += (std::log(std::clamp(ratio, 0.05, 20.0)) - pace.value) * (pace.samples < 8 ? 0.15 : 0.06);
        ++pace.samples;
        pace.at = now;
    }
}
// A worker that has ended nothing for a while is given the benefit of the doubt, the more the longer.
Hints Controller::hints() const {
    Hints known;
    for (const auto& [id, pace] : paces) {
        const double age = double(std::max<std::int64_t>(0, (now - pace.at).milliseconds - 1000));
        if (pace.samples >= 8) known.paces[id] = std::exp(pace.value * std::exp2(-age / 4000.0));
    }
    for (const auto& [pool, demand] : urgentDemand) known.urgentDemand[pool] = std::int64_t(demand.peak * std::exp2(-double((now - demand.at).milliseconds) / 5000.0));
    return known;
}
void Controller::recordDemand(const Plan& plan) {
    for (const auto& [pool, wanted] : plan.urgentDemand) {
        Demand& known = urgentDemand[pool];
        const double faded = known.peak * std::exp2(-double((now - known.at).milliseconds) / 5000.0);
        known.peak = std::max(faded, double(wanted));
        known.at = now;
    }
}

void Controller::planStarts() {
    if (!planWanted) {
        if (now < nextDueLook) return;
        nextDueLook = now + Duration{50};
        auto due = Planner::nextDue(speculative(), clusterNow());
        if (due && *due - clusterNow() <= Duration{1}) planWanted = true;
        if (due && now - lastPlan >= Duration{500}) planWanted = true;
        if (!planWanted) return;
    }
    // What a plan costs grows with what waits, and so does the rest after it: there is a share of the time that it never takes.
    const Duration rest{std::int64_t(waitingAtPlan) / 100};
    if (now - lastPlan < (planAtOnce ? rest : std::max(speculative().config.planner.period, rest))) return;
    lastPlan = now;
    planAtOnce = false;
    Plan plan = planner.make(speculative(), clusterNow(), silence(), false, hints());
    recordDemand(plan);
    waitingAtPlan = plan.waiting;
    planWanted = false;
    if (now >= nextOccupancy) {
        nextOccupancy = now + Duration{1000};
        emitLogEvent("occupancy", {{"waiting", json(plan.waiting)}, {"in_time", json(plan.standings[0])}, {"late", json(plan.standings[1])}, {"past", json(plan.standings[2])},
                           {"attempts", json(speculative().attempts.size())}, {"open", json(speculative().open.size())}, {"workers", json(plan.usable)}, {"passed_over", json(plan.passedOver)},
                           {"copies", json(plan.copies)}, {"cores", json(double(plan.cores) / 1000)}, {"cores_used", json(double(plan.coresUsed) / 1000)}});
    }
    if (plan.empty(speculative().reservation)) return;
    append(std::move(plan.made));
    planWanted = false;
}

// Looks at the polls of which something may have changed: not yet confirmed, their time come, or their worker given orders.
void Controller::answerPolls() {
    const RoundNumber confirmed = raft.confirmedRound();
    for (const auto& id : std::exchange(committedState.addressed, {}))
        if (auto found = polls.find(id); found != polls.end()) pollsToLook.insert(found->second.begin(), found->second.end());
    for (; !pollsDue.empty() && pollsDue.begin()->first <= now; pollsDue.erase(pollsDue.begin()))
        if (requests.count(pollsDue.begin()->second)) pollsToLook.insert(pollsDue.begin()->second);
    for (auto place = pollsToLook.begin(); place != pollsToLook.end();) {
        const auto looked = *place++;
        if (answerPoll(requests.at(looked), confirmed)) dropRequest(looked);
    }
}

// Answers a waiting sync, or notes when it is to be looked at again.
bool Controller::answerPoll(const PendingRequest& record, RoundNumber confirmed) {
    if (now >= record.deadline) {
        answer(record, ApiResponse::unknown("no majority of the controllers answers"));
        return true;
    }
    if (record.barrier > raft.commitIndex() || record.round > confirmed) return false;
    auto lookAgain = [&](MonotonicTime at) {
        pollsDue.emplace(std::min(at, record.deadline), record.place);
        pollsToLook.erase(record.place);
        return false;
    };
    const auto& report = record.request.report;
    auto found = committedState.workers.find(report.id);
    if (found == committedState.workers.end()) return lookAgain(record.deadline);
    if (found->second.incarnation != report.incarnation) {
        answer(record, ApiResponse::error(410, "gone", "this incarnation is replaced: stop all tasks and begin anew"));
        return true;
    }
    SyncResponse answered;
    OrderNumber known = report.packed ? std::max(report.lastOrder, report.received) : report.lastOrder;
    MonotonicTime sentAgain = record.deadline;
    if (auto sent = ordersSent.find(report.id); report.packed && report.received.value && sent != ordersSent.end() && now - sent->second.at < Duration{500}) {
        known = std::max(known, sent->second.through);
        sentAgain = sent->second.at + Duration{500};
    }
    for (const auto& order : found->second.orders)
        if (order.number > known) answered.orders.push_back(order);
    if (answered.orders.empty() && now < record.pollUntil) return lookAgain(std::min(sentAgain, record.pollUntil));
    answered.term = raft.term();
    answered.lease = report.unresponsive ? Duration{0} : options.lease;
    for (const auto& ending : report.endings) {
        auto open = committedState.attempts.find(ending.attempt);
        if (open == committedState.attempts.end() || open->second.worker != report.id) answered.confirmed.push_back(ending.attempt);
    }
    if (report.packed) {
        for (const auto& ending : report.namedEndings) {
            if (committedState.attemptNamed(report.id, ending.name).value) break;
            ++answered.closed;
        }
        answered.after = known;
        if (!answered.orders.empty()) ordersSent[report.id] = {answered.orders.back().number, now};
        ApiResponse packedAnswer;
        packedAnswer.body = pack(answered);
        answer(record, std::move(packedAnswer));
        return true;
    }
    answered.gateways = preferred(gatewaysHeard(now), report.capacity.zone, checksum(report.id.value));
    answer(record, ApiResponse::of(200, answered.render()));
    return true;
}

void Controller::dropRequest(std::uint64_t place) {
    auto found = requests.find(place);
    if (auto waiting = polls.find(found->second.request.report.id); waiting != polls.end() && waiting->second.erase(place) && waiting->second.empty()) polls.erase(waiting);
    pollsToLook.erase(place);
    unanswered.erase(place);
    requests.erase(found);
}

void Controller::answerDecided() {
    const RoundNumber confirmed = raft.confirmedRound();
    for (auto next = unanswered.begin(); next != unanswered.end();) {
        const auto place = *next++;
        const PendingRequest& record = requests.at(place);
        const bool ready = record.stage == Stage::decided && record.barrier <= raft.commitIndex() && record.round <= confirmed;
        if (!ready && now < record.deadline) continue;
        answer(record, ready ? record.answer : record.stage == Stage::taken ? ApiResponse::notTaken("the leader can't serve yet") : ApiResponse::unknown("no majority of the controllers answers; ask again"));
        dropRequest(place);
    }
}

// One change at a time, each logged; a learner is promoted when it has caught up. docs/design.md 3.5.
void Controller::reviewMembership() {
    // A learner has caught up when it holds what was committed a moment ago: under load it is never level.
    if (committedLately.empty() || now - committedAt >= Duration{250}) {
        committedLately.push_back(raft.commitIndex());
        if (committedLately.size() > 2) committedLately.pop_front();
        committedAt = now;
    }
    if (!raft.membersSettled()) return;
    Members members = raft.members();
    auto isDead = [&](const Member& member) {
        if (member.id == raft.self().id) return false;
        if (speculative().toReplace.count(member.id)) return true;
        const Duration unheard = now - std::max(leaderSince, raft.heardFrom(member.id));
        // A new identity that answers at its very address is proof that its disk is gone: no need to wait for more.
        const bool supplanted = std::any_of(members.begin(), members.end(), [&](const Member& other) {
            return other.id != member.id && other.peer == member.peer && now - raft.heardFrom(other.id) < Duration{1000};
        });
        return unheard > options.replaceAfter || (supplanted && unheard > Duration{2000});
    };
    auto change = [&](const char* what, const Member& member) {
        if (raft.proposeMembers(members, now))
            emitLogEvent("members change", {{"change", json(what)}, {"member", json(member.id.value)}, {"zone", json(member.zone.value)}});
    };
    std::size_t voters = 0, dead = 0;
    for (const auto& member : members) {
        voters += member.voter;
        dead += member.voter && isDead(member);
    }
    // One learner stands ready for the next voter that is lost, and one for each place that is open now.
    raft.wantLearners(1 + options.voters - std::min(options.voters, voters - dead));
    auto votersIn = [&](const ZoneName& zone) { return std::count_if(members.begin(), members.end(), [&](const Member& other) { return other.voter && other.zone == zone; }); };
    // One voter more than wanted may make a majority larger, so that stage is left at once: the one unheard for longest goes, or,
    // where the old one came back meanwhile, one that an operator named or else the latest of the zone that has the most.
    ControllerId surplus;
    if (voters > options.voters) {
        Duration longest{2000};
        for (const auto& member : members) {
            const Duration unheard = now - std::max(leaderSince, raft.heardFrom(member.id));
            if (!member.voter || member.id == raft.self().id || unheard <= longest) continue;
            longest = unheard;
            surplus = member.id;
        }
        std::ptrdiff_t most = 0;
        for (const auto& member : members) {
            if (longest > Duration{2000} || now - leaderSince <= Duration{4000} || !member.voter || member.id == raft.self().id) continue;
            const bool named = speculative().toReplace.count(member.id);
            const auto together = named ? std::ptrdiff_t(members.size()) + 1 : votersIn(member.zone);
            if (together < most) continue;
            most = together;
            surplus = member.id;
        }
    }
    for (std::size_t place = 0; place < members.size(); ++place) {
        const Member member = members[place];
        const bool lostState = raft.lostState(member.id);
        const bool superfluous = member.voter && member.id == surplus;
        const bool deadLearner = !member.voter && isDead(member);
        if (!(lostState && (!member.voter || voters > 1)) && !superfluous && !deadLearner) continue;
        members.erase(members.begin() + std::ptrdiff_t(place));
        if (speculative().toReplace.count(member.id)) append(ControllerReplacementRequested{member.id, true});
        return change(lostState ? "lost state" : "removed", member);
    }
    if (voters > options.voters) return;
    // The learner that has caught up and whose zone has the fewest voters that live.
    Member* best = nullptr;
    std::ptrdiff_t fewest = 0;
    for (auto& member : members) {
        if (member.voter || now - raft.heardFrom(member.id) > Duration{1000}) continue;
        if (raft.matchOf(member.id) < committedLately.front()) continue;
        const auto inZone = std::count_if(members.begin(), members.end(), [&](const Member& other) { return other.voter && other.zone == member.zone && !isDead(other); });
        if (best && inZone >= fewest) continue;
        best = &member;
        fewest = inZone;
    }
    if (!best) return;
    // Nobody is missing: only a zone's surplus goes, and only while all are heard, since who is not would go in its place.
    if (voters == options.voters && dead == 0) {
        const bool allHeard = std::all_of(members.begin(), members.end(), [&](const Member& member) { return !member.voter || now - raft.heardFrom(member.id) <= Duration{1000}; });
        const bool better = std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.voter && votersIn(member.zone) >= fewest + 2; });
        if (!better || !allHeard || now - leaderSince <= Duration{4000}) return;
    }
    best->voter = true;
    change("voter", *best);
}

void Controller::requestSnapshot() {
    if (raft.versionsSinceWhole() < options.snapshotVersions && raft.bytesSinceWhole() < options.snapshotBytes) return;
    if (packing || appliedIndex <= raft.snapshot().index) return;
    snapshotWork.pack = appliedIndex;
    packing = true;
}
void Controller::packed(PackedSnapshot view) {
    if (!packing) return;  // another view was installed meanwhile
    packing = false;
    raft.compact(view.index, std::move(view.state));
}

RouteView Controller::route(MonotonicTime at) const {
    RouteView view;
    view.term = raft.term();
    view.config = committedState.config.version;
    for (const auto& [name, queue] : committedState.config.queues)
        if (queue.urgency > 0) view.urgent.push_back(name);
    for (const auto& member : raft.members()) {
        view.controllers.push_back(member.peer);
        if (member.id == raft.leader()) view.leader = member.peer;
    }
    view.gateways = gatewaysHeard(at);
    return view;
}

std::vector<Contact> Controller::gatewaysHeard(MonotonicTime at) const {
    std::vector<Contact> heard;
    for (const auto& [address, seen] : gateways)
        if (at - seen.heard < Duration{10'000}) heard.push_back({address, seen.zone});
    return heard;
}

// A job's phase alone. docs/api.md 1.
ApiResponse Controller::showPhase(const JobId& id) const {
    auto found = speculativeState->jobs.find(id);
    if (found == speculativeState->jobs.end()) return ApiResponse::error(410, "gone", "no job " + id.value);
    const Job& job = found->second;
    const bool begun = job.state == JobState::timed ? job.fired > 0 : std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.run > 0; });
    ApiResponse answer;
    answer.word = job.over() ? name(job.state) : job.state == JobState::cancelling ? "cancelled" : job.ending ? "failed" : begun ? "running" : "waiting";
    answer.body = json(picojson::object{{"phase", json(answer.word)}}).serialize();
    return answer;
}

picojson::object Controller::showJob(const Job& job) const {
    picojson::array tasks;
    std::map<std::string, double> counts;
    for (std::size_t place = 0; place < job.tasks.size(); ++place) {
        const Task& task = job.tasks[place];
        std::string state = name(task.state);
        picojson::object shown;
        auto attempt = speculativeState->attempts.find(task.attempt);
        if (task.state == TaskState::placed && attempt != speculativeState->attempts.end()) {
            state = name(attempt->second.state);
            shown["worker"] = json(attempt->second.worker.value);
            if (attempt->second.trial()) shown["trial"] = json(true);
        }
        ++counts[state];
        if (place >= 200) continue;
        shown["task"] = json(place);
        shown["step"] = json(job.submission.steps[task.step].name);
        shown["state"] = json(state);
        shown["starts"] = json(task.starts);
        tasks.push_back(json(shown));
    }
    picojson::object byState;
    for (const auto& [state, count] : counts) byState[state] = json(count);
    if (job.shortenedTasks) byState["no longer kept"] = json(job.shortenedTasks);
    picojson::object shown{{"id", json(job.submission.id.value)}, {"queue", json(job.submission.queue.value)}, {"state", json(name(job.state))},
                           {"allowed_at_ms", json(job.allowedAt.milliseconds)}, {"tasks", json(tasks)}, {"tasks_by_state", json(byState)}};
    if (!job.reason.empty()) shown["reason"] = json(job.reason);
    if (job.over()) shown["ended_at_ms"] = json(job.endedAt.milliseconds);
    if (job.submission.timed()) shown["fired"] = json(job.fired);
    return shown;
}

picojson::object Controller::listJobs(const ApiRequest& request) const {
    picojson::array listed;
    for (const auto& [id, job] : speculativeState->jobs) {
        if (!request.text.empty() && request.text != name(job.state)) continue;
        if (listed.size() >= request.limit) break;
        listed.push_back(json(picojson::object{{"id", json(id.value)}, {"queue", json(job.submission.queue.value)}, {"state", json(name(job.state))}}));
    }
    return {{"jobs", json(listed)}, {"kept", json(speculativeState->jobs.size())}, {"open", json(speculativeState->open.size())}};
}

picojson::object Controller::showWorkers() const {
    picojson::array listed;
    const auto known = silence();
    for (const auto& [id, worker] : speculativeState->workers) {
        std::uint64_t cores = 0, memory = 0, held = 0, count = 0;
        for (auto number : speculativeState->attemptsOn(id)) {
            const Attempt& attempt = speculativeState->attempts.at(number);
            ++count;
            held += attempt.state == AttemptState::held;
            memory += attempt.memory;
            if (attempt.usesCores()) cores += attempt.cores;
        }
        auto quiet = known.find(id);
        listed.push_back(json(picojson::object{{"id", json(id.value)}, {"state", json(name(worker.state))}, {"zone", json(worker.capacity.zone.value)},
            {"rack", json(worker.capacity.rack)}, {"cores", json(worker.capacity.cores / 1000.0)}, {"cores_used", json(double(cores) / 1000.0)},
            {"memory_mb", json(worker.capacity.memory)}, {"memory_used_mb", json(memory)}, {"attempts", json(count)}, {"held", json(held)},
            {"honours_leases", json(worker.capacity.honoursLeases)}, {"guards_room", json(worker.capacity.guardsRoom)},
            {"failureScore", json(worker.failureScoreAt(clusterNow()))}, {"orders_pending", json(worker.orders.size())},
            {"unheard_ms", json(quiet == known.end() ? -1 : quiet->second.milliseconds)}}));
    }
    return {{"workers", json(listed)}};
}

picojson::object Controller::showCluster() const {
    picojson::array listed, outer;
    for (const auto& member : raft.members()) {
        const bool own = member.id == raft.self().id;
        listed.push_back(json(picojson::object{{"id", json(member.id.value)}, {"address", json(member.peer.value)}, {"zone", json(member.zone.value)},
            {"voter", json(member.voter)}, {"leads", json(own)}, {"match", json(own ? raft.last().value : raft.matchOf(member.id).value)},
            {"unheard_ms", json(own ? 0 : (now - raft.heardFrom(member.id)).milliseconds)}}));
    }
    for (const auto& [address, seen] : gateways) outer.push_back(json(picojson::object{{"address", json(address.value)}, {"zone", json(seen.zone.value)}, {"unheard_ms", json((now - seen.heard).milliseconds)}}));
    return {{"term", json(raft.term().value)}, {"commit", json(raft.commitIndex().value)}, {"last", json(raft.last().value)},
            {"view", json(raft.snapshot().index.value)}, {"config", json(speculativeState->config.version.value)},
            {"cluster_time_ms", json(clusterNow().milliseconds)}, {"controllers", json(listed)}, {"gateways", json(outer)}};
}

picojson::object Controller::showPlan() {
    Plan plan = planner.make(speculative(), clusterNow(), silence(), true, hints());
    picojson::array reasons;
    for (const auto& reason : plan.reasons) {
        if (reasons.size() >= 200) break;
        reasons.push_back(json(picojson::object{{"job", json(reason.job.value)}, {"step", json(reason.step)}, {"priority", json(reason.priority)}, {"reason", json(reason.text)}}));
    }
    picojson::object shown{{"plan", json(speculative().plan.value)}, {"waiting", json(plan.waiting)}, {"reasons", json(reasons)}};
    const Reservation& reservation = speculative().reservation;
    if (reservation.held()) {
        picojson::array placements;
        for (const auto& placement : reservation.placements) placements.push_back(json(picojson::object{{"task", json(placement.task)}, {"worker", json(placement.worker.value)}}));
        shown["reservation"] = json(picojson::object{{"job", json(reservation.job.value)}, {"step", json(reservation.step)},
            {"in_ms", json((reservation.start - clusterNow()).milliseconds)}, {"moved", json(reservation.moved)}, {"placements", json(placements)}});
    }
    return shown;
}

picojson::object Controller::showCounters() const {
    const Counters& counters = speculativeState->counters;
    return {{"allowed", json(counters.allowed)}, {"finished", json(counters.finished)}, {"failed", json(counters.failed)},
            {"cancelled", json(counters.cancelled)}, {"starts", json(counters.starts)}, {"trials", json(counters.trials)},
            {"trials_ran_out", json(counters.trialsRanOut)}, {"trials_finished", json(counters.trialsFinished)}, {"holds", json(counters.holds)},
            {"retries", json(counters.retries)}, {"lost", json(counters.lost)}, {"plans", json(counters.plans)},
            {"reservations_moved", json(counters.reservationsMoved)}, {"open", json(speculativeState->open.size())},
            {"kept", json(speculativeState->jobs.size())}, {"attempts", json(speculativeState->attempts.size())}, {"requests", json(requests.size())},
            {"commit", json(raft.commitIndex().value)}, {"term", json(raft.term().value)}};
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ControllerTests){};

// A view whose checksum is right but whose content this version can't read is not taken for an empty state.
TEST(ControllerTests, anUnreadableViewStopsIt) {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.whole = true;
    record.term = Term{3};
    record.snapshot = Snapshot{LogIndex{9}, Term{3}, {Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, true}}, "of another version"};
    record.first = LogIndex{10};
    Controller controller(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1, {record}, MonotonicTime{0});
    CHECK(controller.damaged());
    for (std::int64_t now = 0; now < 5000; now += 10) controller.step(MonotonicTime{now}, WallTime{now});
    CHECK(!controller.raftNode().leads());
    record.snapshot.state = pack(ClusterState{});
    Controller sound(Member{ControllerId{"r"}, Address{"a:1"}, ZoneName{"x"}, false}, {}, 1, {record}, MonotonicTime{0});
    CHECK(!sound.damaged());
}
#endif
