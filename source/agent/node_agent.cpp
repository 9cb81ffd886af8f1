#include "agent/node_agent.hpp"

namespace aniseline {

namespace {
// So many lives that said that they leave, and were not heard of otherwise, are remembered.
constexpr std::size_t announcedAtMost = 16;
// Between unanswered looks for a life that is only known by its account.
constexpr Duration lookForLifeAgain{100};
// What an answer takes on its way at most, in reckoning how far the worker's clock may be.
constexpr Duration answerTakes{50};
}  // namespace

bool NodeAgent::known(const WorkerAccount& given, MonotonicTime now) {
  if (formerLives.count(given.life))
    return false;
  if (given.life == account.life)
    renew(given, now);
  else if (account.life.value.empty())
    begin(given, false, now);
  else
    propose(given, now);
  return true;
}

// Another life: nothing of the former one runs or will. docs/design.md 5.8.
void NodeAgent::begin(const WorkerAccount& given, bool shown, MonotonicTime now) {
  NodeAgent next(options);
  next.formerLives = std::move(formerLives);
  if (!account.life.value.empty())
    next.formerLives.insert(account.life);
  next.announcedLeaving = std::move(announcedLeaving);
  next.term = term;
  *this = std::move(next);
  account = given;
  if (auto announced = announcedLeaving.find(given.life); announced != announcedLeaving.end()) {
    account.leaveWithin = given.leaving ? given.leaveWithin : announced->second;
    account.leaving = true;
    announcedLeaving.erase(announced);
  }
  standing = shown;
  proofTriesLeft = options.proofTries;
  heardAt = now;
  hear(given.clock, ClockSource::account, now);
}

// A newer account of the life that is known. That it leaves is never taken back.
// docs/design.md 5.7.
void NodeAgent::renew(const WorkerAccount& given, MonotonicTime now) {
  if (given.sequence && given.sequence <= account.sequence)
    return;  // overtaken
  heardAt = now;
  proofTriesLeft = options.proofTries;
  const WorkerAccount before = std::exchange(account, given);
  if (before.leaving && !given.leaving) {
    account.leaving = true;
    account.leaveWithin = before.leaveWithin;
  }
  if (!account.clock)
    account.clock = before.clock;
  noteLeaving();
  hear(given.clock, ClockSource::account, now);
}

void NodeAgent::propose(const WorkerAccount& given, MonotonicTime now) {
  const bool isNew = !candidate || candidate->account.life != given.life;
  if (isNew)
    candidate = Candidate{given, 0, now, false};
  else if (!given.sequence || given.sequence > candidate->account.sequence) {
    const bool leaving = candidate->account.leaving || given.leaving;
    candidate->account = given;
    candidate->account.leaving = leaving;
  }
  candidate->triesLeft = options.proofTries;
}

std::optional<WorkerCall> NodeAgent::lookForCandidate(MonotonicTime now) {
  if (!candidate || candidate->looking || !candidate->triesLeft || now < candidate->lookAt)
    return std::nullopt;
  candidate->looking = true;
  --candidate->triesLeft;
  WorkerCall call;
  call.kind = WorkerCall::Kind::look;
  call.number = nextCall++;
  call.life = candidate->account.life;
  call.fence = term;
  return call;
}

void NodeAgent::candidateReplied(const WorkerCall& call, const WorkerReply& reply,
                                 MonotonicTime now) {
  if (!candidate || call.life != candidate->account.life)
    return;
  candidate->looking = false;
  candidate->lookAt = now + lookForLifeAgain;
  if (reply.kind == WorkerReply::Kind::otherLife)
    candidate.reset();  // an account that came late, of a life that is over
  else if (reply.kind == WorkerReply::Kind::done || reply.kind == WorkerReply::Kind::fenced)
    begin(WorkerAccount(candidate->account), true, now);
}

// What stands at the address is told by answers only: each names the life that it is meant for.
void NodeAgent::noteProof(const WorkerCall& call, const WorkerReply& reply) {
  if (reply.kind == WorkerReply::Kind::otherLife) {
    standing = false;
    proofTriesLeft = 0;  // until the next account of this life
  } else if (call.kind == WorkerCall::Kind::look &&
             (reply.kind == WorkerReply::Kind::done || reply.kind == WorkerReply::Kind::fenced))
    standing = true;
}

bool NodeAgent::leaves(const WorkerId& life, Duration within, MonotonicTime now) {
  if (formerLives.count(life))
    return true;
  WorkerAccount* known = nullptr;
  if (life == account.life)
    known = &account;
  else if (candidate && life == candidate->account.life)
    known = &candidate->account;
  if (!known) {
    if (announcedLeaving.size() >= announcedAtMost)
      announcedLeaving.erase(announcedLeaving.begin());
    announcedLeaving[life] = within;
    return false;
  }
  if (!known->leaving) {
    known->leaving = true;
    known->leaveWithin = within;
  }
  if (known != &account) {
    candidate->triesLeft = options.proofTries;
    return true;
  }
  heardAt = std::max(heardAt, now);
  noteLeaving();
  return true;
}

// The leader holds this life for gone, and it is not reported anew when it leaves.
void NodeAgent::noteLeaving() {
  over = over || (retired && account.leaving);
}

bool NodeAgent::leavingTold(const WorkerId& life) const {
  if (formerLives.count(life))
    return true;
  return life == account.life && (over || (account.leaving && toldLeaving));
}

void NodeAgent::hear(const std::optional<WorkerTime>& told, ClockSource source, MonotonicTime now) {
  if (!told)
    return;
  // An account may be seconds old: it tells what the clock shows at least, never at most.
  if (source == ClockSource::answer && (!answeredClock || *told > *answeredClock)) {
    answeredClock = told;
    answeredClockAt = now;
  }
  if (clock && *told <= *clock)
    return;
  clock = told;
  clockAt = now;
  recordLapse(now);
}

// What had ended when the hold ran out, and was not confirmed, is void. docs/design.md 5.5. Its
// clock may be slow: before the hold has surely run out nothing is called void, and while it may
// have nothing renews it. docs/design.md 5.8.
void NodeAgent::recordLapse(MonotonicTime now) {
  if (!granted || !clock || overNoted || surelyRead(now) < *granted)
    return;
  overNoted = true;
  if (works.empty() && told.empty())
    return;
  lapsed = true;
  lapseSeenFrom = looksBegun + 1;
  for (auto& ending : told)
    if (ending.ending.kind == EndingKind::finished && ending.number)
      ending.ending.kind = EndingKind::stopped;
}

// What a clock that may be slow surely shows by now; and whether a true one may show the end of the
// hold already.
WorkerTime NodeAgent::surelyRead(MonotonicTime now) const {
  return *clock + Duration{std::int64_t(double((now - clockAt).milliseconds) * options.slowest)};
}
bool NodeAgent::mayLapse(MonotonicTime now) const {
  if (!granted || !clock || overNoted)
    return false;
  return !answeredClock || *answeredClock + (now - answeredClockAt) + answerTakes > *granted;
}

// The lease as a time on the worker's clock. Counted as if that clock were slow, it is never later
// than the lease.
std::optional<WorkerTime> NodeAgent::deadline(MonotonicTime now) const {
  if (!clock || leaseUntil <= now)
    return std::nullopt;
  const Duration left = std::min({leaseUntil - now, options.longestHold, options.hold});
  return *clock + Duration{std::int64_t(double((now - clockAt).milliseconds + left.milliseconds) *
                                        options.slowest)};
}

// How long its tasks may yet run if it can't be reached, on a true clock.
Duration NodeAgent::heldFor(MonotonicTime now) const {
  if (!granted || !clock)
    return options.longestHold;
  const double read =
      double(clock->milliseconds) + double((now - clockAt).milliseconds) * options.slowest;
  return Duration{std::max<std::int64_t>(
      0, std::int64_t((double(granted->milliseconds) - read) / options.slowest) + 1)};
}

OrderNumber NodeAgent::applied() const {
  return openOrders.empty() ? received
                            : std::min(received, OrderNumber{openOrders.begin()->value - 1});
}

SyncReport NodeAgent::report(MonotonicTime now) {
  recordLapse(now);
  SyncReport report;
  report.id = account.life;
  report.incarnation = incarnation;
  report.capacity = account.capacity;
  report.packed = true;
  report.received = received;
  report.lastOrder = toldApplied = applied();
  appliedAt = now;
  for (auto& ending : told) {
    report.namedEndings.push_back(ending.ending);
    ending.told = true;
    if (report.namedEndings.size() >= 500)
      break;
  }
  for (const auto& [name, saved] : saves)
    report.saves.push_back({name, saved});
  report.reportedAt = now;
  report.unresponsive = toldUnresponsive = unresponsive(now);
  if (report.unresponsive) {
    report.heldFor = heldFor(now);
    outOfTouch = true;
    unresponsiveToldAt = now;
  }
  report.leaving = account.leaving;
  report.leaveWithin = account.leaveWithin;
  return report;
}

bool NodeAgent::unresponsive(MonotonicTime now) const {
  return unanswered && now - heardAt > options.unresponsiveAfter;
}

bool NodeAgent::urgent(MonotonicTime now) const {
  if (!mayReport() || now < retiredUntil)
    return false;
  if ((account.leaving && !toldLeaving) || unresponsive(now) != toldUnresponsive)
    return true;
  if (std::any_of(told.begin(), told.end(), [](const Told& ending) { return !ending.told; }))
    return true;
  return applied() != toldApplied && now - appliedAt > Duration{400};
}

void NodeAgent::answered(const SyncReport& asked, const SyncResponse& answer, MonotonicTime sentAt,
                         MonotonicTime now) {
  if (asked.id != account.life || asked.incarnation != incarnation || answer.term < term)
    return;
  term = answer.term;
  const Duration leaseGranted = std::min(answer.lease, options.longestHold);
  if (!asked.unresponsive) {
    // Only a word given after the last one of its unresponsiveness: until a leader has heard that,
    // what it was told still stands.
    if (!unresponsive(now) && asked.reportedAt > unresponsiveToldAt)
      outOfTouch = false;
    knownTo = std::max(knownTo, answer.after);
    lease = leaseGranted;
    leaseUntil = std::max(leaseUntil, sentAt + leaseGranted);
  }
  if (asked.leaving)
    toldLeaving = true;
  for (const auto& save : asked.saves)
    if (auto found = saves.find(save.name); found != saves.end() && found->second == save.saved)
      saves.erase(found);
  for (std::size_t place = 0; place < answer.closed && place < asked.namedEndings.size(); ++place) {
    const auto& name = asked.namedEndings[place].name;
    for (auto ending = told.begin(); ending != told.end(); ++ending)
      if (ending->ending.name == name) {
        // Endings are final in the order of their numbers only: the worker forgets all up to one.
        if (ending->number && ending != told.begin())
          break;
        lastSeen = std::max(lastSeen, ending->number);
        told.erase(ending);
        break;
      }
  }
  if (now >= leaseUntil)
    return;  // too late to be followed, docs/design.md 5.3
  takeOrders(answer, now);
}

// Answers overtake each other, so orders may come with a gap before them; each is carried out when
// it comes. A new process begins where the leader does, and an earlier one may have begun to carry
// out what comes first. docs/design.md 5.8.
void NodeAgent::takeOrders(const SyncResponse& answer, MonotonicTime now) {
  auto has = [&](OrderNumber number) {
    return number <= received || std::any_of(ahead.begin(), ahead.end(), [&](const auto& span) {
             return number > span.first && number <= span.second;
           });
  };
  const bool first = !answeredOnce;
  answeredOnce = true;
  if (answer.orders.empty())
    return;
  const OrderNumber before{answer.orders.front().number.value - 1};
  if (received == OrderNumber{}) {
    if (answer.after > received)
      return;  // earlier ones were in an answer that did not come: all come again
    received = before;
  }
  for (const auto& order : answer.orders) {
    if (has(order.number))
      continue;
    take(order, now);
    if (auto work = works.find(RunName::of(order)); first && work != works.end())
      work->second.unsure = true;
  }
  auto& upTo = ahead[before];
  upTo = std::max(upTo, answer.orders.back().number);
  while (!ahead.empty() && ahead.begin()->first <= received) {
    received = std::max(received, ahead.begin()->second);
    ahead.erase(ahead.begin());
  }
}

void NodeAgent::replaced(MonotonicTime now) {
  // Whatever still runs there dies with its hold; only then may this worker be used under another
  // incarnation.
  works.clear();
  told.clear();
  saves.clear();
  openOrders.clear();
  ahead.clear();
  received = toldApplied = knownTo = OrderNumber{};
  incarnation = incarnation.next();
  leaseUntil = MonotonicTime{0};
  retired = true;
  noteLeaving();  // such a one is never used again, under whatever incarnation
  retiredUntil = now + Duration{options.longestHold.milliseconds * 11 / 10 + 500};
}

void NodeAgent::take(const Order& order, MonotonicTime now) {
  const RunName name = RunName::of(order);
  auto found = works.find(name);
  if (order.kind == OrderKind::start || order.kind == OrderKind::stage) {
    if (found != works.end())
      return;
    if (hasTold(name))
      return;
    Work work;
    work.order = order;
    work.notBefore = now;
    work.staged = order.kind == OrderKind::stage;
    if (!work.staged) {
      work.orders.push_back(order.number);
      openOrders.insert(order.number);
    }
    works.emplace(name, std::move(work));
    return;
  }
  if (order.kind == OrderKind::go)
    return go(order, name, now);
  if (order.kind != OrderKind::stop)
    return;
  if (found == works.end()) {
    if (hasTold(name))
      return;
    // Of a start that this process never saw: it is fenced all the same, and a look tells what
    // became of it.
    Work work;
    work.order = order;
    work.unsure = true;
    found = works.emplace(name, std::move(work)).first;
  }
  found->second.wanted = false;
  found->second.orders.push_back(order.number);
  openOrders.insert(order.number);
  found->second.notBefore = now;
}

// A gang's part is staged here, not at the worker, which knows starts only. docs/design.md 7.3.
void NodeAgent::go(const Order& order, const RunName& name, MonotonicTime now) {
  auto found = works.find(name);
  if (found == works.end()) {
    // Staged by an earlier process of this agent: it was never begun.
    if (!hasTold(name))
      finish(name, EndingKind::unstarted, 0, "");
    return;
  }
  if (!found->second.staged)
    return;
  found->second.staged = false;
  found->second.notBefore = now;
  found->second.orders.push_back(order.number);
  openOrders.insert(order.number);
}

void NodeAgent::settleOrders(Work& work) {
  for (auto number : work.orders)
    openOrders.erase(number);
  work.orders.clear();
}

void NodeAgent::finish(const RunName& name, EndingKind kind, std::uint64_t number,
                       std::string saved) {
  auto found = works.find(name);
  if (found != works.end()) {
    settleOrders(found->second);
    works.erase(found);
  }
  saves.erase(name);
  lastSaved.erase(name);
  Told ending{number, NamedEnding{name, kind, std::move(saved)}, false};
  if (!number)
    told.push_back(std::move(ending));
  else {
    auto place = std::find_if(told.begin(), told.end(), [&](const Told& other) {
      return other.number == 0 || other.number > number;
    });
    told.insert(place, std::move(ending));
  }
}

void NodeAgent::lookAfter(Work& work) {
  work.looked = false;
  work.lookFrom = looksBegun + 1;
}

Duration NodeAgent::renewAfter() const {
  return std::clamp(Duration{std::min(lease, options.hold).milliseconds / 4}, Duration{100},
                    options.longestLook);
}
// A look that is lost with its whole wait leaves a second of the hold that it asks for, in which
// others are made. What is left of the lease is what counts: the leader renews that once a sync
// only.
Duration NodeAgent::lookWait(MonotonicTime now) const {
  const std::int64_t left = std::min(leaseUntil - now, options.hold).milliseconds;
  return std::min(std::max(renewAfter(), Duration{std::min(left / 2, left - 1000)}),
                  options.longestLook);
}

// What surely runs is not among it: when a stop of it has done its work a look that waits comes
// back with the ending.
bool NodeAgent::toFindOut() const {
  return std::any_of(works.begin(), works.end(), [](const auto& entry) {
    return !entry.second.looked && !entry.second.running;
  });
}
bool NodeAgent::unconfirmed() const {
  return std::any_of(told.begin(), told.end(),
                     [](const Told& ending) { return ending.number != 0; });
}
bool NodeAgent::hasTold(const RunName& name) const {
  return std::any_of(told.begin(), told.end(),
                     [&](const Told& ending) { return ending.ending.name == name; });
}

bool NodeAgent::wantsLook(MonotonicTime now) const {
  if (looking || account.life.value.empty() || over || now < retiredUntil)
    return false;
  if (!standing)
    return proofTriesLeft && now - lookedAt >= lookForLifeAgain;
  if (term == Term{} || leaseUntil <= now)
    return false;
  if (!everLooked || lapsed)
    return true;
  if (toFindOut())
    return now - lookedAt >= (told.empty() ? Duration{20} : options.lookAgain);
  if (unanswered && now - lookedAt < Duration{250})
    return false;
  const bool running = unanswered || std::any_of(works.begin(), works.end(), [](const auto& entry) {
                         return entry.second.running;
                       });
  if (!running && !moreEnded)  // one that leaves is looked at until it answers no more
    return account.leaving && toldLeaving && now - lookedAt >= options.lookAtLeaving;
  // While endings wait to be confirmed a look would only tell them again; it is due all the same to
  // keep the hold up.
  return !unconfirmed() || now - lookedAt >= std::max(renewAfter(), Duration{500});
}

std::vector<WorkerCall> NodeAgent::takeCalls(MonotonicTime now) {
  std::vector<WorkerCall> calls;
  recordLapse(now);
  retired = retired && now < retiredUntil;
  if (auto call = lookForCandidate(now))
    calls.push_back(std::move(*call));
  if (account.life.value.empty() || over || now < retiredUntil)
    return calls;
  auto make = [&](WorkerCall::Kind kind) {
    WorkerCall call;
    call.kind = kind;
    call.number = nextCall++;
    call.life = account.life;
    call.fence = term;
    // A stop extends no hold; and what the leader was told of a unresponsive worker stays true.
    if (kind != WorkerCall::Kind::stop)
      call.deadline = unresponsive(now) || outOfTouch ? granted : deadline(now);
    if (call.deadline && (!granted || *granted < *call.deadline)) {
      granted = call.deadline;
      overNoted = false;
    }
    return call;
  };
  std::vector<RunName> never;
  for (auto& [name, work] : works) {
    if (work.calling || work.notBefore > now || callsUnderWay >= options.callsAtOnce)
      continue;
    if (work.staged && work.wanted && !account.leaving)
      continue;
    if (work.wanted && !work.running && work.looked && !work.failed) {
      if (account.leaving &&
          !work.unsure) {  // docs/design.md 5.7: nothing starts once the word is given
        never.push_back(name);
        continue;
      }
      if (account.leaving)
        work.failed = true;
      else {
        if (lapsed || outOfTouch || knownTo > received || unresponsive(now) || leaseUntil <= now ||
            !clock || (mayLapse(now) && !told.empty()))
          continue;
        auto call = make(WorkerCall::Kind::start);
        call.name = name;
        call.payload = work.order.payload;
        call.saved = work.order.saved;
        call.order = work.order;
        calls.push_back(std::move(call));
        work.calling = true;
        ++callsUnderWay;
        continue;
      }
    }
    if ((!work.wanted || work.failed) && !work.stopped) {
      // What was never sent needs no stop: no call of it can be on its way.
      if (!work.running && !work.unsure) {
        never.push_back(name);
        continue;
      }
      auto call = make(WorkerCall::Kind::stop);
      call.name = name;
      calls.push_back(std::move(call));
      work.calling = true;
      ++callsUnderWay;
    }
  }
  for (const auto& name : never)
    finish(name, works[name].refused ? EndingKind::refused : EndingKind::unstarted, 0, "");
  if (wantsLook(now) && !(mayLapse(now) && !told.empty())) {
    auto call = make(WorkerCall::Kind::look);
    call.lastSeen = lastSeen;
    call.wait = !standing || !everLooked || lapsed || unanswered || toFindOut() || unconfirmed() ||
                        moreEnded
                    ? Duration{0}
                    : lookWait(now);
    call.within = call.wait + Duration{400};
    if (!standing)
      --proofTriesLeft;
    looking = true;
    ++looksBegun;
    call.number = looksBegun;
    lookedAt = now;
    calls.push_back(std::move(call));
  }
  return calls;
}

void NodeAgent::replied(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  if (call.life != account.life)
    return candidateReplied(call, reply, now);
  const bool look = call.kind == WorkerCall::Kind::look;
  if (look && (!looking || call.number != looksBegun))
    return;  // of one that was given up: a newer one tells, or has told
  if (look)
    looking = false;
  else if (callsUnderWay > 0)
    --callsUnderWay;
  hear(reply.clock, ClockSource::answer, now);
  noteProof(call, reply);
  if (reply.kind == WorkerReply::Kind::lost)
    unanswered = true;
  else {
    unanswered = false;
    heardAt = now;
  }
  if (call.kind == WorkerCall::Kind::look) {
    if (reply.kind == WorkerReply::Kind::done)
      looked(call, reply, now);
    return;
  }
  auto found = works.find(call.name);
  if (found == works.end())
    return;  // its ending was seen meanwhile
  Work& work = found->second;
  work.calling = false;
  const bool start = call.kind == WorkerCall::Kind::start;
  switch (reply.kind) {
    case WorkerReply::Kind::done:
      if (start) {
        work.running = true;
        if (work.wanted)
          settleOrders(work);
      } else {
        work.stopped = true;
        lookAfter(work);
      }
      return;
    case WorkerReply::Kind::lost:
      work.unsure = true;
      work.notBefore = now + Duration{20};
      return;
    case WorkerReply::Kind::old:
      work.unsure = true;  // it was there before, or a later one is: a look tells
      if (start)
        lookAfter(work);
      else
        work.notBefore = now + Duration{100};
      return;
    case WorkerReply::Kind::late:
      work.notBefore = now + Duration{50};  // with the next lease
      return;
    case WorkerReply::Kind::sick:
      if (++work.sick < 3 || !start) {
        work.notBefore = now + Duration{std::int64_t(50) << std::min(work.sick, 4u)};
        return;
      }
      [[fallthrough]];
    case WorkerReply::Kind::room:
      if (start)
        work.failed = work.refused = true;
      else
        work.notBefore = now + Duration{100};
      return;
    case WorkerReply::Kind::fenced:
      work.notBefore = now + Duration{200};  // a newer leader has been here: its sync tells
      return;
    case WorkerReply::Kind::invalid:
      if (start)
        work.failed = true;
      else {
        work.stopped = true;
        lookAfter(work);
      }
      return;
    case WorkerReply::Kind::otherLife:
      work.notBefore = now + Duration{300};  // the next account of itself will tell
      return;
  }
}

void NodeAgent::looked(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  everLooked = true;
  lookedAt = now;
  std::set<RunName> seen;
  for (const auto& active : reply.active) {
    seen.insert(active.name);
    if (!active.saved.empty() && lastSaved[active.name] != active.saved) {
      lastSaved[active.name] = active.saved;
      saves[active.name] = active.saved;
    }
    auto [found, isNew] = works.try_emplace(active.name);
    Work& work = found->second;
    if (isNew)
      work.wanted = true;  // begun by an earlier process: it is watched, never begun or stopped of
                           // our own accord
    work.running = true;
    if (work.wanted && !work.calling) {
      work.looked = true;
      settleOrders(work);
    }
  }
  for (const auto& ended : reply.ended) {
    seen.insert(ended.name);
    if (ended.number <= lastSeen || ended.number <= highestEnding)
      continue;
    highestEnding = ended.number;
    finish(ended.name,
           lapsed && ended.kind == EndingKind::finished ? EndingKind::stopped : ended.kind,
           ended.number, ended.saved);
  }
  if (lapsed && call.number >= lapseSeenFrom)
    lapsed = false;
  moreEnded = !reply.whole;
  // docs/design.md 5.8: what a look begun after the last call for it does not show was never begun.
  if (!reply.whole)
    return;
  std::vector<RunName> absent;
  for (auto& [name, work] : works) {
    if (seen.count(name) || work.calling)
      continue;
    if (!work.looked && call.number >= work.lookFrom) {
      if (work.stopped || work.wanted)
        absent.push_back(name);
    }
  }
  for (const auto& name : absent) {
    Work& work = works[name];
    if (work.stopped)
      finish(name, work.refused ? EndingKind::refused : EndingKind::unstarted, 0, "");
    else {  // `old`, yet not to be seen: what is there is another run; it is fenced before it is
            // given up
      work.failed = work.looked = true;
      work.unsure = true;
    }
  }
}

MonotonicTime NodeAgent::nextDue(MonotonicTime now) const {
  MonotonicTime due = now + Duration{60'000};
  if (candidate && candidate->triesLeft && !candidate->looking)
    due = std::max(candidate->lookAt, now + Duration{5});
  if (account.life.value.empty() || over)
    return due;
  if (unanswered && !toldUnresponsive)
    due = std::min(due,
                   std::max(heardAt + options.unresponsiveAfter + Duration{1}, now + Duration{5}));
  for (const auto& [name, work] : works)
    if (!work.calling && (!work.running || !work.wanted) && !work.stopped &&
        !(work.staged && work.wanted))
      due = std::min(due, std::max(work.notBefore, now + Duration{5}));
  if (!looking && (!works.empty() || !everLooked || unanswered))
    due = std::min(due, now + Duration{25});
  if (applied() != toldApplied)
    due = std::min(due, std::max(appliedAt + Duration{401}, now + Duration{5}));
  return due;
}

}  // namespace aniseline
