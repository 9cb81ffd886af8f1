#include "reservoir.hpp"
#include <cmath>

namespace aniseline {

Reservoir::Reservoir(Member self, ReservoirOptions options, std::uint64_t seed, const std::vector<DiskRecord>& restored, Instant now)
    : options(options), agreement(std::move(self), options.agreement, seed, restored, now), now(now) {
    if (agreement.viewIndex().value > 0) takeView(agreement.view());
}

void Reservoir::takeView(const LogView& view) {
    auto state = unpack<Ledger>(view.state);
    if (state) committedLedger = std::move(state.value());
    else unreadable = true;
    foldedTo = view.index;
    viewWork = ViewWork{view.state, {}, std::nullopt};
    packing = false;
}

ClusterTime Reservoir::clusterNow() const { return clusterBase + (now - clusterBaseAt); }

// Truth is the log: nothing is changed but by a record of it. docs/design.md 3.2.
LogIndex Reservoir::append(Event event) {
    Record record{std::max(clusterNow(), working().now), std::move(event)};
    const LogIndex index = agreement.propose(pack(record), now);
    working().fold(record);
    planWanted = true;
    expect(record.event);
    proposals.push_back({index, agreement.epoch(), std::move(record)});
    return index;
}

// What may bring a lapse, a leaving's end or an occurrence nearer than was reckoned.
void Reservoir::expect(const Event& event) {
    const auto& kind = event.type();
    if (kind == typeid(MinionSeen) || kind == typeid(MinionLeaves) || kind == typeid(MinionLeaveOver) || kind == typeid(MinionAllowed) ||
        kind == typeid(MinionSilent) || kind == typeid(MinionGone)) minionsChanged = true;
    const auto* allowed = boost::get<JobAllowed>(&event);
    if (kind == typeid(OccurrenceFired) || (allowed && allowed->submission.timed())) nextFiring = ClusterTime{};
}

void Reservoir::followLog() {
    if (agreement.takeInstalled()) {
        takeView(agreement.view());
        note("view installed", {{"index", json(foldedTo.value)}});
    }
    while (foldedTo < agreement.commitIndex()) {
        foldedTo = foldedTo.next();
        const LogEntry& entry = agreement.entry(foldedTo);
        if (entry.members) continue;
        if (foldCommitted(entry)) viewWork.records.push_back(entry.payload);
        else {
            unreadable = true;
            note("unreadable record", {{"index", json(foldedTo.value)}});
        }
    }
}

bool Reservoir::foldCommitted(const LogEntry& entry) {
    while (!proposals.empty() && proposals.front().index < foldedTo) proposals.pop_front();
    if (!proposals.empty() && proposals.front().index == foldedTo && proposals.front().epoch == entry.epoch) {
        committedLedger.fold(proposals.front().record);
        proposals.pop_front();
        return true;
    }
    auto record = unpack<Record>(entry.payload);
    if (record) committedLedger.fold(record.value());
    return record.has_value();
}

void Reservoir::followRole() {
    if (agreement.leads() && (!workingLedger || ledEpoch != agreement.epoch())) {
        ledEpoch = agreement.epoch();
        workingLedger = committedLedger;
        for (LogIndex index = foldedTo.next(); index <= agreement.last(); index = index.next()) {
            const LogEntry& entry = agreement.entry(index);
            if (entry.members) continue;
            if (auto record = unpack<Record>(entry.payload)) working().fold(record.value());
            else unreadable = true;
        }
        leaderSince = now;
        clusterBase = working().now;
        clusterBaseAt = now;
        contacts.clear();
        ordersSent.clear();
        deaf.clear();
        reported.clear();
        committedLately.clear();
        backlog = Backlog{};
        paces.clear();
        urgentDemand.clear();
        shortenedTo = ClusterTime{};
        minionsChanged = true;
        nextFiring = ClusterTime{};
        proposals.clear();
        committedLedger.addressed.clear();
        for (const auto& [minion, places] : polls) pollsToLook.insert(places.begin(), places.end());
        append(Opened{});
        note("leads", {{"epoch", json(ledEpoch.value)}, {"last", json(agreement.last().value)}});
    } else if (!agreement.leads() && workingLedger) {
        workingLedger.reset();
        wasServing = false;
        note("leads no more", {{"epoch", json(agreement.epoch().value)}});
        for (const auto& [place, record] : exchanges)
            answer(record, record.logged && record.exchange.ask != Ask::sync ? Answer::unknown("the leader changed while this was under way; ask again") : notLeader());
        proposals.clear();
        exchanges.clear();
        taken.clear();
        unanswered.clear();
        polls.clear();
        pollsToLook.clear();
        pollsDue.clear();
    }
}

Answer Reservoir::notLeader() const {
    Answer answer = Answer::error(503, "unknown", "this reservoir does not lead", Span{200});
    answer.notLeader = true;
    for (const auto& member : agreement.members())
        if (member.id == agreement.leader() && member.id != agreement.self().id) answer.leader = member.peer;
    return answer;
}

void Reservoir::answer(const ExchangeRecord& record, Answer given) { answers.emplace_back(record.number, std::move(given)); }

void Reservoir::take(ExchangeNumber number, Exchange exchange, Instant at) {
    ExchangeRecord record;
    record.number = number;
    record.exchange = std::move(exchange);
    record.deadline = at + options.answerWithin;
    if (!workingLedger || !agreement.leads()) return answer(record, notLeader());
    if (!mayTake(record.exchange))
        return answer(record, Answer::error(429, "overloaded", "too many exchanges are under way", Span{1000}));
    record.place = ++lastPlace;
    taken.push_back(record.place);
    unanswered.insert(record.place);
    exchanges.emplace(record.place, std::move(record));
}
// docs/design.md 10: the setup in force says which queues are urgent.
bool Reservoir::mayTake(const Exchange& exchange) const {
    const auto* queue = committedLedger.setup.queue(exchange.job.queue);
    const bool plain = exchange.ask == Ask::submitJob && !(queue && queue->urgency > 0);
    return roomFor(exchange.ask, plain, exchanges.size(), options.exchangesAtOnce);
}

// An answer rests on the working ledger, so it leaves only when all that ledger holds is committed and a round
// begun after the exchange came has been confirmed by a majority. docs/design.md 8.2.
void Reservoir::decide(ExchangeRecord& record, Answer given, bool logged) {
    record.stage = Stage::decided;
    record.answer = std::move(given);
    record.logged = logged;
    record.barrier = agreement.last();
    record.round = agreement.startRound(now);
}

void Reservoir::step(Instant at, WallTime wall) {
    if (unreadable) return;
    now = std::max(now, at);
    agreement.tick(now, wall);
    followLog();
    followRole();
    if (workingLedger && agreement.serves()) {
        if (!wasServing) {
            wasServing = true;
            note("serves", {{"epoch", json(agreement.epoch().value)}});
        }
        if (auto wallNow = agreement.agreedWall(now); wallNow && wallNow->milliseconds > clusterNow().milliseconds) {
            clusterBase = ClusterTime{wallNow->milliseconds};
            clusterBaseAt = now;
        }
        passIntake();
        passMinions();
        passTimetables();
        passForget();
        passHopeless();
        passPlan();
        passMembers();
        agreement.tick(now, wall);  // what was proposed leaves at once
        followLog();
        followRole();
    }
    if (workingLedger) {
        passPolls();
        passAnswers();
    }
    passCheckpoint();
}

void Reservoir::passIntake() {
    for (auto place : std::exchange(taken, {}))
        if (auto found = exchanges.find(place); found != exchanges.end()) intake(found->second);
}

// docs/design.md 6.6: the leader's setup is the newest there is, so what comes by an entrance is never judged by an older one.
bool Reservoir::enter(ExchangeRecord& record) {
    Exchange& exchange = record.exchange;
    const Setup& setup = working().setup;
    if (!setup.version.value) return decide(record, Answer::notTaken("there is no setup yet"), false), false;
    const auto* entrance = setup.entrance(exchange.host, exchange.path);
    if (!entrance) return decide(record, Answer::error(404, "no_queue", "no queue is entered there"), false), false;
    exchange.id = exchange.path.substr(entrance->prefix.size());
    exchange.job.queue = entrance->queue;
    exchange.job.id = JobId{exchange.id};
    if (exchange.ask == Ask::showPhase && exchange.id.empty()) exchange.ask = Ask::countWaiting;
    if (exchange.ask == Ask::submitJob)
        if (auto faults = exchange.job.faults(); !faults.empty()) return decide(record, Answer::from(CoreError{CoreError::Kind::invalid, std::move(faults)}), false), false;
    return true;
}

void Reservoir::intake(ExchangeRecord& record) {
    if (record.exchange.byEntrance() && !enter(record)) return;
    const Exchange& exchange = record.exchange;
    switch (exchange.ask) {
        case Ask::submitJob: return intakeSubmit(record);
        case Ask::cancelJob: return intakeCancel(record);
        case Ask::applySetup: return intakeSetup(record);
        case Ask::sync: return intakeSync(record);
        case Ask::leave:
        case Ask::drain:
        case Ask::undrain:
        case Ask::declareGone: return intakeMinionOrder(record);
        case Ask::showJob: {
            auto found = working().jobs.find(JobId{exchange.id});
            if (found == working().jobs.end()) return decide(record, Answer::error(404, "missing", "no job " + exchange.id), false);
            return decide(record, Answer::of(200, showJob(found->second)), false);
        }
        case Ask::showPhase: return decide(record, showPhase(JobId{exchange.id}), false);
        case Ask::countWaiting: {
            Answer answer;
            auto found = working().openByQueue.find(exchange.job.queue);
            answer.number = found == working().openByQueue.end() ? 0 : found->second;
            return decide(record, std::move(answer), false);
        }
        case Ask::readSetup: {
            if (!working().setup.version.value) return decide(record, Answer::error(404, "missing", "there is no setup yet"), false);
            Answer answer;
            answer.body = working().setup.text;
            return decide(record, std::move(answer), false);
        }
        case Ask::listJobs: return decide(record, Answer::of(200, listJobs(exchange)), false);
        case Ask::showSetup: {
            picojson::object shown{{"version", json(working().setup.version.value)}};
            picojson::value setup;
            if (!working().setup.text.empty() && picojson::parse(setup, working().setup.text).empty()) shown["setup"] = setup;
            return decide(record, Answer::of(200, shown), false);
        }
        case Ask::listMinions: return decide(record, Answer::of(200, showMinions()), false);
        case Ask::showCluster: return decide(record, Answer::of(200, showCluster()), false);
        case Ask::showPlan: return decide(record, Answer::of(200, showPlan()), false);
        case Ask::showCounters: return decide(record, Answer::of(200, showCounters()), false);
        case Ask::replaceReservoir: {
            const ReservoirId id{exchange.id};
            for (const auto& member : agreement.members())
                if (member.id == id && id != agreement.self().id) {
                    const bool wanted = !working().toReplace.count(id);
                    if (wanted) append(ReservoirNamed{id, false});
                    return decide(record, Answer::of(202, {{"replacing", json(exchange.id)}}), wanted);
                }
            return decide(record, id == agreement.self().id ? Answer::error(409, "conflict", "it leads; stop it first so that leadership moves")
                                                            : Answer::error(404, "missing", "no member " + exchange.id), false);
        }
        case Ask::exportState: {
            picojson::array jobs;
            for (const auto& [id, job] : working().jobs) jobs.push_back(json(showJob(job)));
            return decide(record, Answer::of(200, {{"jobs", json(jobs)}, {"cluster_time_ms", json(clusterNow().milliseconds)}}), false);
        }
    }
}

void Reservoir::intakeSubmit(ExchangeRecord& record) {
    const JobSubmission& job = record.exchange.job;
    auto accepted = [&] { return Answer::of(202, {{"id", json(job.id.value)}, {"accepted", json(true)}}); };
    auto found = working().jobs.find(job.id);
    if (found != working().jobs.end()) {
        if (found->second.digest == job.digest()) return decide(record, accepted(), false);
        return decide(record, Answer::error(409, "conflict", "job " + job.id.value + " exists with other content"), false);
    }
    const auto* queue = working().setup.queue(job.queue);
    if (!queue || queue->closed)
        return decide(record, Answer::from(CoreError::at(CoreError::Kind::invalid, "/queue", "the setup has no queue " + job.queue.value)), false);
    for (std::size_t step = 0; step < job.steps.size() && !record.exchange.byEntrance(); ++step)
        if (auto never = working().neverFits(job, job.steps[step]))
            return decide(record, Answer::from(CoreError::at(CoreError::Kind::invalid, "/steps/" + std::to_string(step), *never)), false);
    // docs/design.md 10: the whole is bounded, and what is reserved to other queues is not for this one.
    std::uint64_t heldBack = 0;
    for (const auto& [name, options] : working().setup.queues) {
        if (name == job.queue) continue;
        const auto open = working().openByQueue[name];
        heldBack += options.reserved > open ? options.reserved - open : 0;
    }
    const auto limit = working().setup.planner.openLimit;
    const bool full = working().open.size() + heldBack >= limit || working().openByQueue[job.queue] >= queue->openLimit;
    if (full) return decide(record, Answer::error(429, "overloaded", "queue " + job.queue.value + " is full", Span{1000}), false);
    if (const Span wait = hopelessWait(job, *queue); wait.milliseconds) return decide(record, Answer::error(429, "overloaded", "what waits before it would keep it past all use", wait), false);
    append(JobAllowed{job});
    if (queue->urgency > 0) planAtOnce = true;
    decide(record, accepted(), true);
}

// What waits in each pool, in core-milliseconds by urgency, and the cores there are for it. docs/design.md 10.
void Reservoir::weighBacklog() {
    if (now - backlog.at < Span{200}) return;
    backlog = Backlog{};
    backlog.at = now;
    for (const auto& [id, minion] : working().minions)
        if (minion.open()) backlog.cores[minion.capacity.pool] += minion.capacity.cores;
    for (const auto& id : working().open) {
        const Job& job = working().jobs.at(id);
        const auto* queue = working().setup.queue(job.submission.queue);
        if (!queue || job.state != JobState::open) continue;
        double& waiting = backlog.waiting[{queue->pool, queue->urgency}];
        for (const auto& task : job.tasks)
            if (task.state == TaskState::waiting) waiting += double(job.request(task).cores) * double(job.request(task).runtime.milliseconds);
    }
}
// Not 0: a job of this queue would begin so late that it is of no use any more; when to come back. Only where aims are known.
Span Reservoir::hopelessWait(const JobSubmission& job, const QueueOptions& queue) {
    if (queue.target.milliseconds <= 0 || job.timed()) return Span{0};
    weighBacklog();
    const auto cores = backlog.cores.find(queue.pool);
    if (cores == backlog.cores.end()) return Span{0};
    double before = 0, own = 0;
    for (const auto& [key, waiting] : backlog.waiting)
        if (key.first == queue.pool && key.second >= queue.urgency) before += waiting;
    for (const auto& step : job.steps)
        for (const auto& task : step.tasks) own += double(task.cores) * double(task.runtime.milliseconds);
    const double delay = before / cores->second;
    const double aim = queue.extend * double(job.longestChain().milliseconds) + double(queue.target.milliseconds);
    if (delay > 3 * aim) return Span{std::clamp<std::int64_t>(std::int64_t(delay - 2 * aim), 500, 3000)};
    backlog.waiting[{queue.pool, queue.urgency}] += own;
    return Span{0};
}

void Reservoir::intakeCancel(ExchangeRecord& record) {
    const JobId id{record.exchange.id};
    auto found = working().jobs.find(id);
    if (found == working().jobs.end()) return decide(record, Answer::error(404, "missing", "no job " + id.value), false);
    const bool wanted = !found->second.over() && found->second.state != JobState::cancelling;
    if (wanted) append(JobCancelled{id});
    decide(record, Answer::of(200, {{"id", json(id.value)}, {"state", json(name(found->second.state))}}), wanted);
}

void Reservoir::intakeSetup(ExchangeRecord& record) {
    auto parsed = record.exchange.readySetup.empty() ? Setup::parse(record.exchange.text) : unpack<Setup>(record.exchange.readySetup);
    if (!parsed) return decide(record, Answer::from(parsed.error()), false);
    const SetupVersion current = working().setup.version;
    Setup setup = std::move(parsed.value());
    auto taken = [](SetupVersion version) { return Answer::of(200, {{"version", json(version.value)}}); };
    if ((record.exchange.basedOn.next() == current || setup.version == current) && current.value && setup.text == working().setup.text) return decide(record, taken(current), false);
    if (record.exchange.basedOn != current) {
        Answer answer = Answer::of(409, {{"error", json("conflict")}, {"text", json("setup " + std::to_string(current.value) + " is newer than the one this is based on")}, {"version", json(current.value)}});
        return decide(record, answer, false);
    }
    if (setup.version.value && setup.version <= current)
        return decide(record, Answer::from(CoreError::at(CoreError::Kind::invalid, "/version", "must be above the current one, " + std::to_string(current.value))), false);
    if (!setup.version.value) setup.version = current.next();
    append(SetupTaken{setup});
    decide(record, taken(setup.version), true);
    note("setup taken", {{"version", json(setup.version.value)}});
}

void Reservoir::intakeSync(ExchangeRecord& record) {
    const SyncReport& report = record.exchange.report;
    auto found = working().minions.find(report.id);
    const Minion* known = found == working().minions.end() ? nullptr : &found->second;
    if (known && (std::count(known->retired.begin(), known->retired.end(), report.incarnation) ||
                  (known->state == MinionState::gone && known->incarnation == report.incarnation)))
        return decide(record, Answer::error(410, "gone", "this incarnation is replaced: stop all tasks and begin anew"), false);
    // Two processes with one id would put each other out for ever: while the one that is known is alive the other is told so.
    if (known && known->incarnation != report.incarnation && known->state != MinionState::gone && now - heardFrom(report.id) < options.aliveWithin) {
        note("minion id in use", {{"minion", json(report.id.value)}});
        return decide(record, Answer::error(409, "conflict", "minion " + report.id.value + " is alive as another process; give each its own id", options.aliveWithin), false);
    }
    bool prompt = false;
    if (!known || known->incarnation != report.incarnation || known->capacity != report.capacity) {
        append(MinionSeen{report.id, report.incarnation, report.capacity});
        prompt = true;
    }
    const Minion& minion = working().minions.at(report.id);
    auto& waiting = polls[report.id];
    if (!report.packed || report.wait.milliseconds)  // a newer sync that waits takes the place of one that still does
        for (auto other : waiting) {
            exchanges.at(other).pollUntil = now;
            pollsToLook.insert(other);
        }
    // A deaf minion is not in touch, whoever speaks for it: no lease is granted, and it is given up when the last one is over. A report
    // that a later one has overtaken says nothing of that any more. docs/design.md 5.8.
    Instant& latest = reported[report.id];
    const bool overtaken = report.packed && report.reportedAt < latest;
    latest = std::max(latest, report.reportedAt);
    if (report.deaf && !overtaken) {
        const Instant over = now + report.heldFor + options.deafMargin;
        auto [known, isNew] = deaf.try_emplace(report.id, over);
        if (!isNew) known->second = std::min(known->second, over);
        minionsChanged = true;
    } else if (!overtaken) {
        if (deaf.erase(report.id)) planWanted = true;
        contacts[report.id] = now;
    }
    if (minion.state == MinionState::silent && !report.deaf && !overtaken) append(MinionAllowed{report.id});
    if (report.leaving && minion.state == MinionState::present) {
        append(MinionLeaves{report.id, report.leaveWithin, false});
        note("minion leaves", {{"minion", json(report.id.value)}});
    }
    MinionSynced synced{report.id, std::min(report.lastOrder, minion.lastOrder), {}};
    for (const auto& ending : report.endings) {
        auto attempt = working().attempts.find(ending.attempt);
        if (attempt != working().attempts.end() && attempt->second.minion == report.id) synced.endings.push_back(ending);
    }
    for (const auto& ending : report.namedEndings)
        if (auto number = working().attemptNamed(report.id, ending.name); number.value) synced.endings.push_back({number, ending.kind, ending.saved});
    notePace(synced);
    for (const auto& save : report.saves)
        if (auto number = working().attemptNamed(report.id, save.name); number.value) synced.saves.emplace_back(number, save.saved);
    if (synced.applied > minion.applied || !synced.endings.empty() || !synced.saves.empty()) append(std::move(synced));
    record.stage = Stage::polling;
    unanswered.erase(record.place);
    waiting.insert(record.place);
    pollsToLook.insert(record.place);
    record.logged = false;
    record.barrier = agreement.last();
    record.round = agreement.startRound(now);
    record.pollUntil = prompt || !report.endings.empty() || !report.namedEndings.empty() || (report.leaving && !report.packed) ? now : now + std::min(report.wait, options.longestPoll);
    record.deadline = now + options.longestPoll + options.answerWithin;
}

void Reservoir::intakeMinionOrder(ExchangeRecord& record) {
    const MinionId id{record.exchange.id};
    auto found = working().minions.find(id);
    if (found == working().minions.end()) return decide(record, Answer::error(404, "missing", "no minion " + id.value), false);
    const Minion& minion = found->second;
    bool logged = true;
    switch (record.exchange.ask) {
        case Ask::leave:
            if (minion.state == MinionState::present) append(MinionLeaves{id, record.exchange.within, false});
            else logged = false;
            break;
        case Ask::drain:
            if (minion.state != MinionState::drained && minion.state != MinionState::gone) append(MinionLeaves{id, record.exchange.within, true});
            else logged = false;
            break;
        case Ask::undrain:
            if (minion.state == MinionState::drained || minion.state == MinionState::leaving) append(MinionAllowed{id});
            else logged = false;
            break;
        default:
            if (minion.state != MinionState::gone) append(MinionGone{id, "declared gone by an operator"});
            else logged = false;
    }
    decide(record, Answer::of(200, {{"minion", json(id.value)}, {"state", json(name(minion.state))}}), logged);
}

Instant Reservoir::heardFrom(const MinionId& id) const {
    auto contact = contacts.find(id);
    return contact == contacts.end() ? leaderSince : std::max(leaderSince, contact->second);
}

// Which tasks of a silent minion are given up by now: their queues may ask for more patience. docs/design.md 5.5.
MinionSilent Reservoir::silenceOf(const Minion& minion, Instant heard) {
    MinionSilent silent{minion.id, {}};
    if (!minion.capacity.honoursTerms) return silent;
    for (auto number : working().attemptsOn(minion.id)) {
        const Attempt& attempt = working().attempts.at(number);
        auto job = working().jobs.find(attempt.job);
        const auto* queue = job == working().jobs.end() ? nullptr : working().setup.queue(job->second.submission.queue);
        const Span patience = queue ? queue->replaceAfter : Span{0};
        auto unheard = deaf.find(minion.id);
        const bool over = unheard != deaf.end() && now > unheard->second + patience;
        if (!attempt.lost && (over || now - heard > options.term + options.margin + patience)) silent.givenUp.push_back(number);
    }
    return silent;
}

void Reservoir::findOverdue() {
    minionsChanged = false;
    overdue.clear();
    nextLapse = Instant{std::numeric_limits<std::int64_t>::max()};
    nextLeaveOver = ClusterTime{std::numeric_limits<std::int64_t>::max()};
    for (const auto& [id, minion] : working().minions) {
        if (minion.state == MinionState::gone) continue;
        Instant lapse = heardFrom(id) + options.term + options.margin + Span{1};
        if (auto unheard = deaf.find(id); unheard != deaf.end()) lapse = std::min(lapse, unheard->second + Span{1});
        const bool leaves = (minion.state == MinionState::leaving || minion.state == MinionState::drained) && !minion.leaveStopped;
        if (now >= lapse || (leaves && clusterNow() >= minion.leaveBy)) {
            overdue.insert(id);
            continue;
        }
        nextLapse = std::min(nextLapse, lapse);
        if (leaves) nextLeaveOver = std::min(nextLeaveOver, minion.leaveBy);
    }
}

// Terms, leavings, and their ends. docs/design.md 5.4 to 5.7.
void Reservoir::passMinions() {
    if (minionsChanged || now >= nextLapse || clusterNow() >= nextLeaveOver) findOverdue();
    std::vector<Event> events;
    for (const auto& id : overdue) {
        auto found = working().minions.find(id);
        if (found == working().minions.end() || found->second.state == MinionState::gone) continue;
        const Minion& minion = found->second;
        const Instant heard = heardFrom(id);
        auto unheard = deaf.find(id);
        if (now - heard > options.term + options.margin || (unheard != deaf.end() && now > unheard->second)) {
            auto silent = silenceOf(minion, heard);
            if (minion.state == MinionState::leaving && working().attemptsOn(id).empty()) events.push_back(MinionGone{id, "left"});
            else if (!silent.givenUp.empty() || (minion.state != MinionState::silent && minion.state != MinionState::drained)) events.push_back(std::move(silent));
        }
        if ((minion.state == MinionState::leaving || minion.state == MinionState::drained) && !minion.leaveStopped && clusterNow() >= minion.leaveBy)
            events.push_back(MinionLeaveOver{id});
    }
    for (auto& event : events) {
        if (auto* silent = boost::get<MinionSilent>(&event); silent && working().minions.at(silent->minion).state != MinionState::silent) note("minion silent", {{"minion", json(silent->minion.value)}});
        append(std::move(event));
    }
}

void Reservoir::passTimetables() {
    if (clusterNow() < nextFiring) return;
    nextFiring = ClusterTime{std::numeric_limits<std::int64_t>::max()};
    const bool wallKnown = agreement.agreedWall(now).has_value();
    std::vector<JobId> due;
    for (const auto& id : working().open) {
        const Job& job = working().jobs.at(id);
        if (job.state != JobState::timed || job.fired >= job.submission.timetable.count) continue;
        const Timetable& timetable = job.submission.timetable;
        const auto next = timetable.first.milliseconds + std::int64_t(job.fired) * timetable.every.milliseconds;
        nextFiring = std::min(nextFiring, ClusterTime{next});
        if (wallKnown && clusterNow().milliseconds >= next) due.push_back(id);
    }
    for (auto& id : due) append(OccurrenceFired{id});
}

// docs/design.md 4.8: what no minion could ever hold fails, with its cause, rather than wait for ever.
void Reservoir::passHopeless() {
    if (now < nextHopeless) return;
    nextHopeless = now + Span{500};
    slowSaid = 0;
    std::vector<JobFailed> hopeless;
    for (const auto& id : working().open) {
        const Job& job = working().jobs.at(id);
        if (job.state != JobState::open || job.ending) continue;
        noteSlow(job);
        const bool waits = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) { return task.state == TaskState::waiting && clusterNow() - task.readyAt > Span{300}; });
        if (!waits) continue;
        for (const auto& step : job.submission.steps)
            if (auto never = working().neverFits(job.submission, step)) {
                hopeless.push_back({id, *never});
                break;
            }
    }
    for (auto& failed : hopeless) append(std::move(failed));
    if (saidSlow.size() > 1000) saidSlow.clear();
}

// An alarm for operators: work whose turn has come and that has not begun for long, with what it waits for.
void Reservoir::noteSlow(const Job& job) {
    constexpr Span slow{3000};
    constexpr std::size_t atOnce = 3;  // a flood of them says no more, and each costs time when there is least of it
    const JobId& id = job.submission.id;
    if (slowSaid >= atOnce || saidSlow.count(id)) return;
    for (const auto& task : job.tasks) {
        auto attempt = working().attempts.find(task.attempt);
        const bool waits = task.state == TaskState::waiting && clusterNow() - std::max(task.readyAt, task.notBefore) > slow;
        const bool ordered = attempt != working().attempts.end() && (attempt->second.state == AttemptState::ordered || attempt->second.state == AttemptState::stopping) && clusterNow() - attempt->second.orderedAt > slow + attempt->second.runtime;
        if (!waits && !ordered) continue;
        saidSlow.insert(id);
        ++slowSaid;
        picojson::object fields{{"job", json(id.value)}, {"step", json(task.step)}, {"within", json(task.within)}, {"state", json(name(task.state))}, {"run", json(task.run)}};
        if (attempt != working().attempts.end()) {
            fields["attempt"] = json(name(attempt->second.state));
            fields["minion"] = json(attempt->second.minion.value);
        }
        if (working().reservation.held()) fields["reserved_for"] = json(working().reservation.job.value);
        return note("work waits long", std::move(fields));
    }
}

void Reservoir::passForget() {
    if (now < nextForget) return;
    nextForget = now + Span{1000};
    // docs/design.md 4.5: finished work never turns new work away; it is kept short, and past the limit the earliest goes.
    constexpr Span keepWhole{60'000};
    constexpr std::size_t atOnce = 2000;
    const auto& planner = working().setup.planner;
    Forgotten forgotten;
    std::size_t kept = working().jobs.size();
    for (const auto& [endedAt, id] : working().ended) {
        const Span since = clusterNow() - endedAt;
        const bool goes = since > planner.keepFinished || kept > planner.keepLimit;
        if (!goes || forgotten.jobs.size() >= atOnce) break;
        --kept;
        forgotten.jobs.push_back(id);
    }
    for (auto place = working().ended.lower_bound({shortenedTo, JobId{}}); place != working().ended.end() && forgotten.shortened.size() < atOnce; ++place) {
        if (clusterNow() - place->first <= keepWhole) break;
        shortenedTo = place->first;
        if (!working().jobs.at(place->second).shortenedTasks) forgotten.shortened.push_back(place->second);
    }
    for (const auto& [id, minion] : working().minions)
        if (minion.state == MinionState::gone && clusterNow() - minion.seenAt > working().setup.planner.keepFinished) forgotten.minions.push_back(id);
    if (!forgotten.jobs.empty() || !forgotten.shortened.empty() || !forgotten.minions.empty()) append(std::move(forgotten));
    std::erase_if(sluices, [&](const auto& entry) { return now - entry.second.heard > Span{10'000}; });
}

Silence Reservoir::silence() const {
    Silence known;
    for (const auto& [id, heard] : contacts) known[id] = deaf.count(id) ? Span{60'000} : now - heard;
    return known;
}

void Reservoir::notePace(const MinionSynced& synced) {
    for (const auto& ending : synced.endings) {
        auto attempt = working().attempts.find(ending.attempt);
        if (ending.kind != EndingKind::finished || attempt == working().attempts.end() || attempt->second.trial()) continue;
        const double ratio = double((clusterNow() - attempt->second.orderedAt).milliseconds) / double(std::max<std::int64_t>(50, attempt->second.runtime.milliseconds));
        Pace& pace = paces[synced.minion];
        pace.value += (std::log(std::clamp(ratio, 0.05, 20.0)) - pace.value) * (pace.samples < 8 ? 0.15 : 0.06);
        ++pace.samples;
        pace.at = now;
    }
}
// A minion that has ended nothing for a while is given the benefit of the doubt, the more the longer.
Hints Reservoir::hints() const {
    Hints known;
    for (const auto& [id, pace] : paces) {
        const double age = double(std::max<std::int64_t>(0, (now - pace.at).milliseconds - 1000));
        if (pace.samples >= 8) known.paces[id] = std::exp(pace.value * std::exp2(-age / 4000.0));
    }
    for (const auto& [pool, demand] : urgentDemand) known.urgentDemand[pool] = std::int64_t(demand.peak * std::exp2(-double((now - demand.at).milliseconds) / 5000.0));
    return known;
}
void Reservoir::noteDemand(const Plan& plan) {
    for (const auto& [pool, wanted] : plan.urgentDemand) {
        Demand& known = urgentDemand[pool];
        const double faded = known.peak * std::exp2(-double((now - known.at).milliseconds) / 5000.0);
        known.peak = std::max(faded, double(wanted));
        known.at = now;
    }
}

void Reservoir::passPlan() {
    if (!planWanted) {
        if (now < nextDueLook) return;
        nextDueLook = now + Span{50};
        auto due = Planner::nextDue(working(), clusterNow());
        if (due && *due - clusterNow() <= Span{1}) planWanted = true;
        if (due && now - lastPlan >= Span{500}) planWanted = true;
        if (!planWanted) return;
    }
    // What a plan costs grows with what waits, and so does the rest after it: there is a share of the time that it never takes.
    const Span rest{std::int64_t(waitingAtPlan) / 100};
    if (now - lastPlan < (planAtOnce ? rest : std::max(working().setup.planner.period, rest))) return;
    lastPlan = now;
    planAtOnce = false;
    Plan plan = planner.make(working(), clusterNow(), silence(), false, hints());
    noteDemand(plan);
    waitingAtPlan = plan.waiting;
    planWanted = false;
    if (now >= nextOccupancy) {
        nextOccupancy = now + Span{1000};
        note("occupancy", {{"waiting", json(plan.waiting)}, {"in_time", json(plan.standings[0])}, {"late", json(plan.standings[1])}, {"past", json(plan.standings[2])},
                           {"attempts", json(working().attempts.size())}, {"open", json(working().open.size())}, {"minions", json(plan.usable)}, {"passed_over", json(plan.passedOver)},
                           {"copies", json(plan.copies)}, {"cores", json(double(plan.cores) / 1000)}, {"cores_used", json(double(plan.coresUsed) / 1000)}});
    }
    if (plan.empty(working().reservation)) return;
    append(std::move(plan.made));
    planWanted = false;
}

// Looks at the polls of which something may have changed: not yet confirmed, their time come, or their minion given orders.
void Reservoir::passPolls() {
    const RoundNumber confirmed = agreement.confirmedRound();
    for (const auto& id : std::exchange(committedLedger.addressed, {}))
        if (auto found = polls.find(id); found != polls.end()) pollsToLook.insert(found->second.begin(), found->second.end());
    for (; !pollsDue.empty() && pollsDue.begin()->first <= now; pollsDue.erase(pollsDue.begin()))
        if (exchanges.count(pollsDue.begin()->second)) pollsToLook.insert(pollsDue.begin()->second);
    for (auto place = pollsToLook.begin(); place != pollsToLook.end();) {
        const auto looked = *place++;
        if (answerPoll(exchanges.at(looked), confirmed)) dropExchange(looked);
    }
}

// Answers a waiting sync, or notes when it is to be looked at again.
bool Reservoir::answerPoll(const ExchangeRecord& record, RoundNumber confirmed) {
    if (now >= record.deadline) {
        answer(record, Answer::unknown("no majority of the reservoirs answers"));
        return true;
    }
    if (record.barrier > agreement.commitIndex() || record.round > confirmed) return false;
    auto lookAgain = [&](Instant at) {
        pollsDue.emplace(std::min(at, record.deadline), record.place);
        pollsToLook.erase(record.place);
        return false;
    };
    const auto& report = record.exchange.report;
    auto found = committedLedger.minions.find(report.id);
    if (found == committedLedger.minions.end()) return lookAgain(record.deadline);
    if (found->second.incarnation != report.incarnation) {
        answer(record, Answer::error(410, "gone", "this incarnation is replaced: stop all tasks and begin anew"));
        return true;
    }
    SyncAnswer answered;
    OrderNumber known = report.packed ? std::max(report.lastOrder, report.received) : report.lastOrder;
    Instant sentAgain = record.deadline;
    if (auto sent = ordersSent.find(report.id); report.packed && report.received.value && sent != ordersSent.end() && now - sent->second.at < Span{500}) {
        known = std::max(known, sent->second.through);
        sentAgain = sent->second.at + Span{500};
    }
    for (const auto& order : found->second.orders)
        if (order.number > known) answered.orders.push_back(order);
    if (answered.orders.empty() && now < record.pollUntil) return lookAgain(std::min(sentAgain, record.pollUntil));
    answered.epoch = agreement.epoch();
    answered.term = report.deaf ? Span{0} : options.term;
    for (const auto& ending : report.endings) {
        auto open = committedLedger.attempts.find(ending.attempt);
        if (open == committedLedger.attempts.end() || open->second.minion != report.id) answered.confirmed.push_back(ending.attempt);
    }
    if (report.packed) {
        for (const auto& ending : report.namedEndings) {
            if (committedLedger.attemptNamed(report.id, ending.name).value) break;
            ++answered.closed;
        }
        answered.after = known;
        if (!answered.orders.empty()) ordersSent[report.id] = {answered.orders.back().number, now};
        Answer packedAnswer;
        packedAnswer.body = pack(answered);
        answer(record, std::move(packedAnswer));
        return true;
    }
    answered.sluices = preferred(sluicesHeard(now), report.capacity.area, checksum(report.id.value));
    answer(record, Answer::of(200, answered.render()));
    return true;
}

void Reservoir::dropExchange(std::uint64_t place) {
    auto found = exchanges.find(place);
    if (auto waiting = polls.find(found->second.exchange.report.id); waiting != polls.end() && waiting->second.erase(place) && waiting->second.empty()) polls.erase(waiting);
    pollsToLook.erase(place);
    unanswered.erase(place);
    exchanges.erase(found);
}

void Reservoir::passAnswers() {
    const RoundNumber confirmed = agreement.confirmedRound();
    for (auto next = unanswered.begin(); next != unanswered.end();) {
        const auto place = *next++;
        const ExchangeRecord& record = exchanges.at(place);
        const bool ready = record.stage == Stage::decided && record.barrier <= agreement.commitIndex() && record.round <= confirmed;
        if (!ready && now < record.deadline) continue;
        answer(record, ready ? record.answer : record.stage == Stage::taken ? Answer::notTaken("the leader can't serve yet") : Answer::unknown("no majority of the reservoirs answers; ask again"));
        dropExchange(place);
    }
}

// One change at a time, each logged; a learner is promoted when it has caught up. docs/design.md 3.5.
void Reservoir::passMembers() {
    // A learner has caught up when it holds what was committed a moment ago: under load it is never level.
    if (committedLately.empty() || now - committedAt >= Span{250}) {
        committedLately.push_back(agreement.commitIndex());
        if (committedLately.size() > 2) committedLately.pop_front();
        committedAt = now;
    }
    if (!agreement.membersSettled()) return;
    Members members = agreement.members();
    auto isDead = [&](const Member& member) {
        if (member.id == agreement.self().id) return false;
        if (working().toReplace.count(member.id)) return true;
        const Span unheard = now - std::max(leaderSince, agreement.heardFrom(member.id));
        // A new identity that answers at its very address is proof that its disk is gone: no need to wait for more.
        const bool supplanted = std::any_of(members.begin(), members.end(), [&](const Member& other) {
            return other.id != member.id && other.peer == member.peer && now - agreement.heardFrom(other.id) < Span{1000};
        });
        return unheard > options.replaceAfter || (supplanted && unheard > Span{2000});
    };
    auto change = [&](const char* what, const Member& member) {
        if (agreement.proposeMembers(members, now))
            note("members change", {{"change", json(what)}, {"member", json(member.id.value)}, {"area", json(member.area.value)}});
    };
    std::size_t voters = 0, dead = 0;
    for (const auto& member : members) {
        voters += member.voter;
        dead += member.voter && isDead(member);
    }
    // One learner stands ready for the next voter that is lost, and one for each place that is open now.
    agreement.wantLearners(1 + options.voters - std::min(options.voters, voters - dead));
    auto votersIn = [&](const AreaName& area) { return std::count_if(members.begin(), members.end(), [&](const Member& other) { return other.voter && other.area == area; }); };
    // One voter more than wanted may make a majority larger, so that stage is left at once: the one unheard for longest goes, or,
    // where the old one came back meanwhile, one that an operator named or else the latest of the area that has the most.
    ReservoirId surplus;
    if (voters > options.voters) {
        Span longest{2000};
        for (const auto& member : members) {
            const Span unheard = now - std::max(leaderSince, agreement.heardFrom(member.id));
            if (!member.voter || member.id == agreement.self().id || unheard <= longest) continue;
            longest = unheard;
            surplus = member.id;
        }
        std::ptrdiff_t most = 0;
        for (const auto& member : members) {
            if (longest > Span{2000} || now - leaderSince <= Span{4000} || !member.voter || member.id == agreement.self().id) continue;
            const bool named = working().toReplace.count(member.id);
            const auto together = named ? std::ptrdiff_t(members.size()) + 1 : votersIn(member.area);
            if (together < most) continue;
            most = together;
            surplus = member.id;
        }
    }
    for (std::size_t place = 0; place < members.size(); ++place) {
        const Member member = members[place];
        const bool forgetful = agreement.forgetful(member.id);
        const bool superfluous = member.voter && member.id == surplus;
        const bool deadLearner = !member.voter && isDead(member);
        if (!(forgetful && (!member.voter || voters > 1)) && !superfluous && !deadLearner) continue;
        members.erase(members.begin() + std::ptrdiff_t(place));
        if (working().toReplace.count(member.id)) append(ReservoirNamed{member.id, true});
        return change(forgetful ? "forgetful" : "removed", member);
    }
    if (voters > options.voters) return;
    // The learner that has caught up and whose area has the fewest voters that live.
    Member* best = nullptr;
    std::ptrdiff_t fewest = 0;
    for (auto& member : members) {
        if (member.voter || now - agreement.heardFrom(member.id) > Span{1000}) continue;
        if (agreement.matchOf(member.id) < committedLately.front()) continue;
        const auto inArea = std::count_if(members.begin(), members.end(), [&](const Member& other) { return other.voter && other.area == member.area && !isDead(other); });
        if (best && inArea >= fewest) continue;
        best = &member;
        fewest = inArea;
    }
    if (!best) return;
    // Nobody is missing: only an area's surplus goes, and only while all are heard, since who is not would go in its place.
    if (voters == options.voters && dead == 0) {
        const bool allHeard = std::all_of(members.begin(), members.end(), [&](const Member& member) { return !member.voter || now - agreement.heardFrom(member.id) <= Span{1000}; });
        const bool better = std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.voter && votersIn(member.area) >= fewest + 2; });
        if (!better || !allHeard || now - leaderSince <= Span{4000}) return;
    }
    best->voter = true;
    change("voter", *best);
}

void Reservoir::passCheckpoint() {
    if (agreement.versionsSinceWhole() < options.checkpointVersions && agreement.bytesSinceWhole() < options.checkpointBytes) return;
    if (packing || foldedTo <= agreement.view().index) return;
    viewWork.pack = foldedTo;
    packing = true;
}
void Reservoir::packed(PackedView view) {
    if (!packing) return;  // another view was installed meanwhile
    packing = false;
    agreement.checkpoint(view.index, std::move(view.state));
}

RouteView Reservoir::route(Instant at) const {
    RouteView view;
    view.epoch = agreement.epoch();
    view.setup = committedLedger.setup.version;
    for (const auto& [name, queue] : committedLedger.setup.queues)
        if (queue.urgency > 0) view.urgent.push_back(name);
    for (const auto& member : agreement.members()) {
        view.reservoirs.push_back(member.peer);
        if (member.id == agreement.leader()) view.leader = member.peer;
    }
    view.sluices = sluicesHeard(at);
    return view;
}

std::vector<Contact> Reservoir::sluicesHeard(Instant at) const {
    std::vector<Contact> heard;
    for (const auto& [address, seen] : sluices)
        if (at - seen.heard < Span{10'000}) heard.push_back({address, seen.area});
    return heard;
}

// A job's phase alone. docs/api.md 1.
Answer Reservoir::showPhase(const JobId& id) const {
    auto found = workingLedger->jobs.find(id);
    if (found == workingLedger->jobs.end()) return Answer::error(410, "gone", "no job " + id.value);
    const Job& job = found->second;
    const bool begun = job.state == JobState::timed ? job.fired > 0 : std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.run > 0; });
    Answer answer;
    answer.word = job.over() ? name(job.state) : job.state == JobState::cancelling ? "cancelled" : job.ending ? "failed" : begun ? "running" : "waiting";
    answer.body = json(picojson::object{{"phase", json(answer.word)}}).serialize();
    return answer;
}

picojson::object Reservoir::showJob(const Job& job) const {
    picojson::array tasks;
    std::map<std::string, double> counts;
    for (std::size_t place = 0; place < job.tasks.size(); ++place) {
        const Task& task = job.tasks[place];
        std::string state = name(task.state);
        picojson::object shown;
        auto attempt = workingLedger->attempts.find(task.attempt);
        if (task.state == TaskState::placed && attempt != workingLedger->attempts.end()) {
            state = name(attempt->second.state);
            shown["minion"] = json(attempt->second.minion.value);
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

picojson::object Reservoir::listJobs(const Exchange& exchange) const {
    picojson::array listed;
    for (const auto& [id, job] : workingLedger->jobs) {
        if (!exchange.text.empty() && exchange.text != name(job.state)) continue;
        if (listed.size() >= exchange.limit) break;
        listed.push_back(json(picojson::object{{"id", json(id.value)}, {"queue", json(job.submission.queue.value)}, {"state", json(name(job.state))}}));
    }
    return {{"jobs", json(listed)}, {"kept", json(workingLedger->jobs.size())}, {"open", json(workingLedger->open.size())}};
}

picojson::object Reservoir::showMinions() const {
    picojson::array listed;
    const auto known = silence();
    for (const auto& [id, minion] : workingLedger->minions) {
        std::uint64_t cores = 0, memory = 0, held = 0, count = 0;
        for (auto number : workingLedger->attemptsOn(id)) {
            const Attempt& attempt = workingLedger->attempts.at(number);
            ++count;
            held += attempt.state == AttemptState::held;
            memory += attempt.memory;
            if (attempt.usesCores()) cores += attempt.cores;
        }
        auto quiet = known.find(id);
        listed.push_back(json(picojson::object{{"id", json(id.value)}, {"state", json(name(minion.state))}, {"area", json(minion.capacity.area.value)},
            {"rack", json(minion.capacity.rack)}, {"cores", json(minion.capacity.cores / 1000.0)}, {"cores_used", json(double(cores) / 1000.0)},
            {"memory_mb", json(minion.capacity.memory)}, {"memory_used_mb", json(memory)}, {"attempts", json(count)}, {"held", json(held)},
            {"honours_terms", json(minion.capacity.honoursTerms)}, {"guards_room", json(minion.capacity.guardsRoom)},
            {"blame", json(minion.blameAt(clusterNow()))}, {"orders_pending", json(minion.orders.size())},
            {"unheard_ms", json(quiet == known.end() ? -1 : quiet->second.milliseconds)}}));
    }
    return {{"minions", json(listed)}};
}

picojson::object Reservoir::showCluster() const {
    picojson::array listed, outer;
    for (const auto& member : agreement.members()) {
        const bool own = member.id == agreement.self().id;
        listed.push_back(json(picojson::object{{"id", json(member.id.value)}, {"address", json(member.peer.value)}, {"area", json(member.area.value)},
            {"voter", json(member.voter)}, {"leads", json(own)}, {"match", json(own ? agreement.last().value : agreement.matchOf(member.id).value)},
            {"unheard_ms", json(own ? 0 : (now - agreement.heardFrom(member.id)).milliseconds)}}));
    }
    for (const auto& [address, seen] : sluices) outer.push_back(json(picojson::object{{"address", json(address.value)}, {"area", json(seen.area.value)}, {"unheard_ms", json((now - seen.heard).milliseconds)}}));
    return {{"epoch", json(agreement.epoch().value)}, {"commit", json(agreement.commitIndex().value)}, {"last", json(agreement.last().value)},
            {"view", json(agreement.view().index.value)}, {"setup", json(workingLedger->setup.version.value)},
            {"cluster_time_ms", json(clusterNow().milliseconds)}, {"reservoirs", json(listed)}, {"sluices", json(outer)}};
}

picojson::object Reservoir::showPlan() {
    Plan plan = planner.make(working(), clusterNow(), silence(), true, hints());
    picojson::array reasons;
    for (const auto& reason : plan.reasons) {
        if (reasons.size() >= 200) break;
        reasons.push_back(json(picojson::object{{"job", json(reason.job.value)}, {"step", json(reason.step)}, {"priority", json(reason.priority)}, {"reason", json(reason.text)}}));
    }
    picojson::object shown{{"plan", json(working().plan.value)}, {"waiting", json(plan.waiting)}, {"reasons", json(reasons)}};
    const Reservation& reservation = working().reservation;
    if (reservation.held()) {
        picojson::array placements;
        for (const auto& placement : reservation.placements) placements.push_back(json(picojson::object{{"task", json(placement.task)}, {"minion", json(placement.minion.value)}}));
        shown["reservation"] = json(picojson::object{{"job", json(reservation.job.value)}, {"step", json(reservation.step)},
            {"in_ms", json((reservation.start - clusterNow()).milliseconds)}, {"moved", json(reservation.moved)}, {"placements", json(placements)}});
    }
    return shown;
}

picojson::object Reservoir::showCounters() const {
    const Counters& counters = workingLedger->counters;
    return {{"allowed", json(counters.allowed)}, {"finished", json(counters.finished)}, {"failed", json(counters.failed)},
            {"cancelled", json(counters.cancelled)}, {"starts", json(counters.starts)}, {"trials", json(counters.trials)},
            {"trials_ran_out", json(counters.trialsRanOut)}, {"trials_finished", json(counters.trialsFinished)}, {"holds", json(counters.holds)},
            {"retries", json(counters.retries)}, {"lost", json(counters.lost)}, {"plans", json(counters.plans)},
            {"reservations_moved", json(counters.reservationsMoved)}, {"open", json(workingLedger->open.size())},
            {"kept", json(workingLedger->jobs.size())}, {"attempts", json(workingLedger->attempts.size())}, {"exchanges", json(exchanges.size())},
            {"commit", json(agreement.commitIndex().value)}, {"epoch", json(agreement.epoch().value)}};
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ReservoirTests){};

// A view whose checksum is right but whose content this version can't read is not taken for an empty state.
TEST(ReservoirTests, anUnreadableViewStopsIt) {
    DiskRecord record;
    record.version = DiskVersion{1};
    record.whole = true;
    record.epoch = Epoch{3};
    record.view = LogView{LogIndex{9}, Epoch{3}, {Member{ReservoirId{"r"}, Address{"a:1"}, AreaName{"x"}, true}}, "of another version"};
    record.first = LogIndex{10};
    Reservoir reservoir(Member{ReservoirId{"r"}, Address{"a:1"}, AreaName{"x"}, false}, {}, 1, {record}, Instant{0});
    CHECK(reservoir.damaged());
    for (std::int64_t now = 0; now < 5000; now += 10) reservoir.step(Instant{now}, WallTime{now});
    CHECK(!reservoir.agreed().leads());
    record.view.state = pack(Ledger{});
    Reservoir sound(Member{ReservoirId{"r"}, Address{"a:1"}, AreaName{"x"}, false}, {}, 1, {record}, Instant{0});
    CHECK(!sound.damaged());
}
#endif
