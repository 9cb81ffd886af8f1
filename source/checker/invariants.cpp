#include "checker/invariants.hpp"
#include "checker/config_orders.hpp"
#include "checker/history_operations.hpp"

namespace aniseline {

namespace {

struct Run {
  std::string worker, attempt;
  std::int64_t startedAt = 0;
  std::optional<std::int64_t> endedAt;
  bool active = false;  // neither held nor ended
  std::vector<std::pair<std::int64_t, std::int64_t>>
      spans;  // in which it ran, the last one open while it runs
  void pause(std::int64_t at) {
    if (active)
      spans.back().second = at;
    active = false;
  }
  void resume(std::int64_t at) {
    if (!active)
      spans.emplace_back(at, std::numeric_limits<std::int64_t>::max());
    active = true;
  }
  void end(std::int64_t at, std::string how) {
    pause(at);
    endedAt = at;
    ending = std::move(how);
  }
  std::int64_t activeBy(std::int64_t at) const {
    std::int64_t sum = 0;
    for (const auto& [from, to] : spans)
      sum += std::max<std::int64_t>(0, std::min(to, at) - from);
    return sum;
  }
  std::string ending;
  bool trial = false;
  bool called = false,
       late = false;  // on a worker that is called; begun by an order carried out late
  std::optional<std::int64_t> notedAt;  // its ending was taken note of, with no lapse before that
  std::uint32_t cores = 0, accelerators = 0;
  std::uint64_t memory = 0;
};
struct TaskHistory {
  std::vector<Run> runs;
  std::optional<std::int64_t> finishedAt;   // the work ended well
  std::optional<std::int64_t> confirmedAt;  // and its worker knows that the centre knows
};
struct JobHistory {
  std::optional<std::int64_t> acceptedAt, cancelledAt;
  std::optional<std::int64_t> finishedShownAt;
  std::size_t submissions = 0, rejections = 0;
  bool over = false, explained = false;
  std::map<std::uint32_t, TaskHistory> tasks;
};

class Checker {
 public:
  Checker(std::vector<HistoryEvent> given, const std::map<std::string, JobSubmission>& submissions,
          const InvariantOptions& options)
      : history(std::move(given)), submissions(submissions), options(options) {
    std::stable_sort(history.begin(), history.end(),
                     [](auto& left, auto& right) { return left.at < right.at; });
  }
  CheckReport check() {
    findDisturbances();
    for (const auto& witness : history)
      see(witness);
    if (!history.empty())
      judgeSilence(history.back().at);
    judgeOperations();
    return std::move(found);
  }

 private:
  // Without a fault a gang's parts begin within little more than a round of syncs, with one within
  // lease, margin and a round trip.
  static constexpr std::int64_t calmGang = 700, disturbedGang = 5000;
  static constexpr std::int64_t calledHold =
      12'000;  // the longest hold, an order on its way, and the stop itself
  static constexpr std::int64_t aftermath =
      6000;  // a fault's consequences: lease, margin and a change of leader

  void broken(int rule, std::int64_t at, std::string text) {
    found.broken.push_back({rule, at, std::move(text)});
  }
  void limit(int rule, std::int64_t at, std::string text) {
    found.limits.push_back({rule, at, std::move(text)});
  }

  void findDisturbances() {
    std::map<std::string, std::int64_t> open;
    for (const auto& witness : history)
      if (witness.kind == HistoryEvent::Kind::disturbed)
        open.emplace(witness.detail, witness.at);
      else if (witness.kind == HistoryEvent::Kind::mended) {
        if (auto begun = open.find(witness.detail); begun != open.end()) {
          disturbances.emplace_back(begun->second, witness.at + aftermath);
          open.erase(begun);
        }
      } else if (witness.kind == HistoryEvent::Kind::whole) {
        for (const auto& [name, begun] : open)
          disturbances.emplace_back(begun, witness.at + aftermath);
        open.clear();
      }
    for (const auto& [name, begun] : open)
      disturbances.emplace_back(begun, std::numeric_limits<std::int64_t>::max());
  }
  bool disturbedWithin(std::int64_t from, std::int64_t to) const {
    return std::any_of(disturbances.begin(), disturbances.end(),
                       [&](const auto& span) { return span.first <= to && from <= span.second; });
  }
  bool leaseless(const std::string& worker) const {
    auto known = capacities.find(worker);
    return known != capacities.end() && known->second.detail == "leaseless";
  }

  // Whether all that was answered fits one order of taking effect. One that was not decided is no
  // pass.
  void judgeOperations() {
    HistoryOperationsOptions operations;
    operations.slack = options.slack;
    operations.keepFinished = options.keepFinished;
    operations.keepLimit = options.keepLimit;
    for (const auto& violation : findViolations(history, operations, &found.searched))
      broken(19, violation.at, violation.text);
  }

  // What no later line can show: things that never came. docs/design.md 11.
  void judgeSilence(std::int64_t end) {
    if (wholeSince)
      broken(12, end,
             "service was never seen again after all was whole, " +
                 std::to_string(end - *wholeSince) + " ms before the history ends");
    for (auto& [id, job] : jobs) {
      if (job.submissions > 0 && job.rejections == job.submissions && !job.tasks.empty() &&
          !job.tasks.begin()->second.runs.empty())
        broken(3, job.tasks.begin()->second.runs.front().startedAt,
               "job " + id + " was rejected on every try, yet ran");
      if (settledAt && job.acceptedAt && !job.over && !job.explained)
        broken(2, *settledAt, "job " + id + " was accepted and is neither over nor explained");
      for (auto& [place, task] : job.tasks)
        for (auto& run : task.runs)
          if (!run.endedAt && run.active)
            keptRunning(job, nameOf(id, place), run, end);
      judgeEndings(id, job);
      if (const auto* submission = submissionOf(id))
        for (std::uint32_t step = 0; step < submission->steps.size(); ++step)
          if (submission->steps[step].gang)
            gangAlone(id, job, *submission, step, end);
    }
  }
  void keptRunning(const JobHistory& job, const std::string& what, const Run& run,
                   std::int64_t at) {
    if (!job.cancelledAt || at <= *job.cancelledAt + 4000 + options.slack)
      return;
    const std::string text =
        what + " kept running " + std::to_string(at - *job.cancelledAt) + " ms after its cancel";
    // With a fault about, the hold of a worker that is called ends it: docs/design.md 5.8.
    if (run.called && disturbedWithin(*job.cancelledAt, at) &&
        at <= *job.cancelledAt + calledHold + options.slack)
      return;
    // A cut-off worker that honours no leases can't be told and does not hold:
    // docs/operations.md 8.
    if (leaseless(run.worker) && disturbedWithin(*job.cancelledAt, *job.cancelledAt + 4000))
      limit(5, at, text + ", on a worker without leases");
    else
      broken(5, at, text);
  }
  const StepRequest* stepOf(const std::string& id, std::uint32_t task) const {
    const auto* submission = submissionOf(id);
    if (!submission)
      return nullptr;
    const auto step = placeOf(*submission, task).first;
    return step < submission->steps.size() ? &submission->steps[step] : nullptr;
  }
  bool isCalled(const std::string& worker) const {
    auto known = capacities.find(worker);
    return known != capacities.end() && known->second.detail == "called";
  }
  // Of a gang that assembles itself one member's ending counts for all of its run.
  template <class Use>
  void eachMemberOf(const std::string& id, JobHistory& job, std::uint32_t task,
                    const std::string& attempt, Use use) {
    const auto* submission = submissionOf(id);
    const auto* step = stepOf(id, task);
    if (!step)
      return;
    std::uint32_t first = task, after = task + 1;
    if (step->gang) {
      first = firstTask(*submission, std::uint32_t(step - submission->steps.data()));
      after = first + std::uint32_t(step->tasks.size());
    }
    for (auto member = first; member < after; ++member)
      if (auto known = job.tasks.find(member); known != job.tasks.end())
        for (auto& run : known->second.runs)
          if (run.attempt == attempt)
            use(known->second, run);
  }

  // What only later lines decide: whether an ending was ever taken note of. docs/design.md 11.
  void judgeEndings(const std::string& id, JobHistory& job) {
    const auto* submission = submissionOf(id);
    for (auto& [place, task] : job.tasks) {
      const auto* step = stepOf(id, place);
      if (!step || step->needs.lasts)
        continue;
      for (auto& done : task.runs) {
        if (!done.called || done.ending != "finished")
          continue;
        std::optional<std::int64_t> noted;
        eachMemberOf(id, job, place, done.attempt, [&](TaskHistory&, const Run& member) {
          if (member.ending == "finished" && member.notedAt)
            noted = std::min(noted.value_or(*member.notedAt), *member.notedAt);
        });
        if (!noted)
          continue;
        for (const auto& run : task.runs) {
          if (&run == &done || run.startedAt < *done.endedAt)
            continue;
          const std::string text = nameOf(id, place) + " starts on " + run.worker +
                                   " though its run " + done.attempt + " had ended well on " +
                                   done.worker;
          if (!step->needs.redundant)
            broken(1, run.startedAt, text);
          else if (!run.late && run.startedAt > *noted + 1000 + options.slack &&
                   !disturbedWithin(*noted, run.startedAt))
            broken(1, run.startedAt, text + ", which was long known");
        }
      }
      auto tries = options.triesOf.find(submission->queue.value);
      if (tries == options.triesOf.end())
        continue;
      for (const auto& run : task.runs) {
        std::set<std::string> failed;
        const auto first =
            step->gang ? firstTask(*submission, std::uint32_t(step - submission->steps.data()))
                       : place;
        for (auto member = first; member < first + (step->gang ? step->tasks.size() : 1); ++member)
          if (auto known = job.tasks.find(member); known != job.tasks.end())
            for (const auto& before : known->second.runs)
              if (before.ending == "failed" && before.notedAt && *before.endedAt <= run.startedAt &&
                  (!step->needs.redundant ||
                   (!run.late && *before.notedAt + 1000 + options.slack < run.startedAt)))
                failed.insert(before.attempt);
        if (failed.size() >= tries->second)
          broken(14, run.startedAt,
                 nameOf(id, place) + " starts after " + std::to_string(failed.size()) +
                     " runs that failed, with " + std::to_string(tries->second) + " tries");
      }
    }
  }
  // A job with tries fails by these, or because no worker that was ever there could hold it.
  void judgeFailed(const HistoryEvent& witness, const JobSubmission& submission) {
    auto tries = options.triesOf.find(submission.queue.value);
    if (tries == options.triesOf.end())
      return;
    for (auto& [id, job] : jobs) {
      if (id != witness.job && !id.starts_with(witness.job + "@"))
        continue;
      std::map<std::pair<std::uint32_t, bool>, std::set<std::string>>
          failed;  // by step of a gang, else by task
      for (auto& [place, task] : job.tasks) {
        const auto step = placeOf(submission, place).first;
        if (step >= submission.steps.size())
          continue;
        const bool gang = submission.steps[step].gang;
        for (const auto& run : task.runs)
          if (run.ending == "failed")
            failed[{gang ? step : place, gang}].insert(run.attempt);
      }
      for (const auto& [key, attempts] : failed)
        if (attempts.size() >= tries->second)
          return;
    }
    for (const auto& step : submission.steps) {
      if (step.gang) {  // together they may not fit though one by one they do
        std::uint64_t wanted = 0, known = 0;
        for (const auto& task : step.tasks)
          wanted += task.cores;
        for (const auto& [worker, capacity] : capacities)
          if (holds(submission, step, capacity))
            known += capacity.cores;
        if (wanted > known)
          return;
      }
      for (const auto& task : step.tasks)
        if (std::none_of(capacities.begin(), capacities.end(), [&](const auto& known) {
              return holds(submission, step, known.second) && known.second.cores >= task.cores &&
                     known.second.memory >= task.memory &&
                     known.second.accelerators >= task.accelerators;
            }))
          return;
    }
    broken(18, witness.at, "job " + witness.job + " is shown as failed with no cause");
  }
  bool holds(const JobSubmission& submission, const StepRequest& step,
             const HistoryEvent& capacity) const {
    auto pools = options.poolsOf.find(submission.queue.value);
    if (pools != options.poolsOf.end() && !pools->second.count(capacity.pool))
      return false;
    return step.needs.label.empty() ||
           std::count(capacity.labels.begin(), capacity.labels.end(), step.needs.label);
  }
  // Of a start on a worker that is called: where it is, what it was given, when. docs/design.md 11.
  void startedOnCalled(const HistoryEvent& witness, JobHistory& job, const std::string& what) {
    const auto* submission = submissionOf(witness.job);
    if (!submission)
      return broken(15, witness.at,
                    what + " starts on " + witness.worker + ", yet nobody asked for that job");
    const auto [step, within] = placeOf(*submission, witness.task);
    const bool ofOccurrence = witness.job != submission->id.value;
    if (step >= submission->steps.size() || ofOccurrence != submission->timed())
      return broken(15, witness.at,
                    what + " starts on " + witness.worker + ", yet nobody asked for that task");
    const auto& request = submission->steps[step];
    const auto& needs = request.needs;
    const auto& capacity = capacities.at(witness.worker);
    auto pools = options.poolsOf.find(submission->queue.value);
    if (pools != options.poolsOf.end() && !pools->second.count(capacity.pool))
      broken(13, witness.at,
             what + " starts on " + witness.worker + " of pool " + capacity.pool +
                 ", to which no config sends its queue");
    if (!needs.label.empty() &&
        !std::count(capacity.labels.begin(), capacity.labels.end(), needs.label))
      broken(13, witness.at,
             what + " starts on " + witness.worker + ", which lacks the label " + needs.label);
    if (needs.apart) {
      std::size_t there = 1;
      const auto first = firstTask(*submission, step);
      for (auto other = first; other < first + request.tasks.size(); ++other)
        if (auto known = job.tasks.find(other); known != job.tasks.end())
          for (const auto& run : known->second.runs)
            there += !run.endedAt && run.worker == witness.worker;
      if (there > needs.apart)
        broken(13, witness.at,
               what + " is the " + std::to_string(there) + "th of its step on " + witness.worker +
                   ", of at most " + std::to_string(needs.apart));
    }
    const auto& own = request.tasks[within].payload;
    if (witness.payload != (own.empty() ? submission->payload : own))
      broken(15, witness.at, what + " starts with another payload");
    const auto owner = ownerOf(witness.job, witness.task, request, step);
    if (!witness.saved.empty()) {
      auto made = savedBy.find(witness.saved);
      if (made == savedBy.end() || made->second != owner)
        broken(15, witness.at, what + " starts from a checkpoint that is not its own");
    }
    if (request.gang) {
      auto [brought, isNew] = broughtBy.try_emplace({owner, witness.attempt}, witness.saved);
      if (!isNew && brought->second != witness.saved)
        broken(15, witness.at, what + " starts from another checkpoint than the rest of its gang");
    }
    if (auto left = leavingSince.find(witness.worker);
        left != leavingSince.end() && !witness.late && witness.at > left->second + options.slack)
      broken(17, witness.at,
             what + " starts on " + witness.worker + " " +
                 std::to_string(witness.at - left->second) +
                 " ms after its leaving was acknowledged");
    if (job.finishedShownAt && !witness.late &&
        witness.at > *job.finishedShownAt + 1000 + options.slack)
      broken(1, witness.at, what + " starts though its job was shown as finished");
  }
  static std::string ownerOf(const std::string& job, std::uint32_t task, const StepRequest& request,
                             std::uint32_t step) {
    return job + (request.gang ? "/gang" + std::to_string(step) : "/" + std::to_string(task));
  }
  void saved(const HistoryEvent& witness) {
    if (const auto* step = stepOf(witness.job, witness.task))
      savedBy[witness.saved] = ownerOf(witness.job, witness.task, *step,
                                       placeOf(*submissionOf(witness.job), witness.task).first);
  }

  // A part that ran on while another of its gang neither ran nor was done.
  void gangAlone(const std::string& id, JobHistory& job, const JobSubmission& submission,
                 std::uint32_t step, std::int64_t end) {
    const auto first = firstTask(submission, step);
    const auto after = std::uint32_t(first + submission.steps[step].tasks.size());
    for (auto part = first; part < after; ++part)
      for (const auto& run : job.tasks[part].runs)
        for (auto other = run.called ? after : first; other < after; ++other) {
          const auto& beside = job.tasks[other];
          if (other == part || (beside.finishedAt && *beside.finishedAt <= run.startedAt))
            continue;
          std::int64_t until = run.endedAt.value_or(end);
          for (const auto& with : beside.runs)
            if (!with.endedAt || *with.endedAt >= run.startedAt)
              until = std::min(until, std::max(with.startedAt, run.startedAt));
          const bool calm = !disturbedWithin(run.startedAt - disturbedGang, until);
          const std::int64_t alone = run.activeBy(until);
          if (alone <= (calm ? calmGang : disturbedGang) + options.slack)
            continue;
          broken(8, run.startedAt,
                 nameOf(id, part) + " ran for " + std::to_string(alone) + " ms while " +
                     nameOf(id, other) + " did not begin" + (calm ? ", with no fault about" : ""));
          break;
        }
  }

  const JobSubmission* submissionOf(const std::string& id) const {
    auto exact = submissions.find(id);
    if (exact == submissions.end())
      exact = submissions.find(id.substr(0, id.find('@')));
    return exact == submissions.end() ? nullptr : &exact->second;
  }
  static std::string nameOf(const std::string& job, std::uint32_t task) {
    return "task " + std::to_string(task) + " of " + job;
  }
  Run* runOf(const HistoryEvent& witness) {
    for (auto& run : jobs[witness.job].tasks[witness.task].runs)
      if (run.attempt == witness.attempt && run.worker == witness.worker && !run.endedAt)
        return &run;
    return nullptr;
  }
  std::pair<std::uint32_t, std::uint32_t> placeOf(const JobSubmission& job,
                                                  std::uint32_t task) const {
    std::uint32_t step = 0;
    while (step < job.steps.size() && task >= job.steps[step].tasks.size())
      task -= std::uint32_t(job.steps[step++].tasks.size());
    return {step, task};
  }
  std::uint32_t firstTask(const JobSubmission& job, std::uint32_t step) const {
    std::uint32_t first = 0;
    for (std::uint32_t at = 0; at < step; ++at)
      first += std::uint32_t(job.steps[at].tasks.size());
    return first;
  }

  void see(const HistoryEvent& witness) {
    switch (witness.kind) {
      case HistoryEvent::Kind::submitted: {
        auto& job = jobs[witness.job];
        ++job.submissions;
        break;
      }
      case HistoryEvent::Kind::accepted:
        if (auto& job = jobs[witness.job]; !job.acceptedAt)
          job.acceptedAt = witness.at;
        break;
      case HistoryEvent::Kind::rejected:
        ++jobs[witness.job].rejections;
        break;
      case HistoryEvent::Kind::unknown:
        break;
      case HistoryEvent::Kind::cancelAcknowledged:
        if (auto& job = jobs[witness.job]; !job.cancelledAt)
          job.cancelledAt = witness.at;
        break;
      case HistoryEvent::Kind::shown:
        shown(witness);
        break;
      case HistoryEvent::Kind::started:
        started(witness);
        break;
      case HistoryEvent::Kind::held:
        if (auto* run = runOf(witness))
          run->pause(witness.at);
        break;
      case HistoryEvent::Kind::resumed:
        resumed(witness);
        break;
      case HistoryEvent::Kind::ended:
        ended(witness);
        break;
      case HistoryEvent::Kind::confirmed:
        confirmed(witness);
        break;
      case HistoryEvent::Kind::vanished:
        vanished(witness);
        break;
      case HistoryEvent::Kind::leaving:
        leavingSince.emplace(witness.worker, witness.at);
        break;
      case HistoryEvent::Kind::staying:
        leavingSince.erase(witness.worker);
        break;
      case HistoryEvent::Kind::explained:
        jobs[witness.job].explained = true;
        break;
      case HistoryEvent::Kind::settled:
        settledAt = witness.at;
        break;
      case HistoryEvent::Kind::saved:
        saved(witness);
        break;
      case HistoryEvent::Kind::disturbed:
      case HistoryEvent::Kind::mended:
      case HistoryEvent::Kind::looked:
      case HistoryEvent::Kind::cancelAsked:
      case HistoryEvent::Kind::cancelMissing:
      case HistoryEvent::Kind::configRead:
      case HistoryEvent::Kind::closed:
        break;
      case HistoryEvent::Kind::capacity:
        capacities[witness.worker] = witness;
        leavingSince.erase(witness.worker);
        break;
      case HistoryEvent::Kind::configAsked:
      case HistoryEvent::Kind::configRefused:
        judgeOrder(witness);
        break;
      case HistoryEvent::Kind::configAcknowledged:
        judgeOrder(witness);
        configs.emplace_back(witness.at, witness.version);
        break;
      case HistoryEvent::Kind::configSeen: {
        // A process that is cut off can't know; what the leader answers is judged always.
        const bool judged =
            witness.detail == "the leader" || !disturbedWithin(witness.at - 2000, witness.at);
        for (const auto& [at, version] : configs)
          if (judged && at + 2000 + options.slack < witness.at && version > witness.version)
            return broken(11, witness.at,
                          "config " + std::to_string(witness.version) + " is in force at " +
                              witness.detail + " long after " + std::to_string(version) +
                              " was acknowledged");
        auto& seen = seenConfig[witness.detail];
        if (witness.version < seen)
          broken(11, witness.at, "config slipped back at " + witness.detail);
        seen = witness.version;
        break;
      }
      case HistoryEvent::Kind::whole:
        wholeSince = witness.at;
        break;
      case HistoryEvent::Kind::served:
        if (wholeSince && witness.at - *wholeSince > 12'000 + options.slack)
          broken(12, witness.at,
                 "service returned only after " + std::to_string(witness.at - *wholeSince) +
                     " ms of being whole");
        wholeSince.reset();
        break;
    }
  }

  void shown(const HistoryEvent& witness) {
    auto& job = jobs[witness.job];
    job.over =
        witness.detail == "finished" || witness.detail == "failed" || witness.detail == "cancelled";
    if (witness.detail == "missing") {
      if (job.acceptedAt && witness.at > *job.acceptedAt + 3000)
        broken(2, witness.at, "job " + witness.job + " was accepted and is reported missing");
    } else if (witness.detail == "failed") {
      if (const auto* submission = submissionOf(witness.job))
        judgeFailed(witness, *submission);
    } else if (witness.detail == "finished") {
      if (!job.finishedShownAt)
        job.finishedShownAt = witness.at;
      const auto* submission = submissionOf(witness.job);
      if (!submission)
        return;
      if (!submission->timed())
        return allFinished(witness, witness.job, *submission);
      for (std::uint32_t time = 0; time < submission->timetable.count; ++time)
        allFinished(witness, witness.job + "@" + std::to_string(time), *submission);
    }
  }
  void allFinished(const HistoryEvent& witness, const std::string& id,
                   const JobSubmission& submission) {
    auto& job = jobs[id];
    std::uint32_t total = firstTask(submission, std::uint32_t(submission.steps.size()));
    for (std::uint32_t task = 0; task < total; ++task) {
      auto known = job.tasks.find(task);
      if (known == job.tasks.end() || !known->second.finishedAt ||
          *known->second.finishedAt > witness.at + options.slack)
        return broken(
            4, witness.at,
            "job " + witness.job + " is shown as finished while " + nameOf(id, task) + " is open");
      for (const auto& run : known->second.runs)
        if (!run.endedAt && run.active &&
            !(run.called && (disturbedWithin(run.startedAt, witness.at) ||
                             submission.steps[placeOf(submission, task).first].needs.redundant)))
          broken(4, witness.at,
                 "job " + witness.job + " is shown as finished while " + nameOf(id, task) +
                     " still runs on " + run.worker);
    }
  }

  void started(const HistoryEvent& witness) {
    auto& job = jobs[witness.job];
    auto& task = job.tasks[witness.task];
    const std::string what = nameOf(witness.job, witness.task);
    const bool called = isCalled(witness.worker);
    const auto* ofStep = stepOf(witness.job, witness.task);
    const bool redundant = ofStep && ofStep->needs.redundant;
    if (called)
      startedOnCalled(witness, job, what);
    for (const auto& run : task.runs)
      if (!run.endedAt && run.active && !redundant)
        broken(1, witness.at, what + " runs on " + witness.worker + " and still on " + run.worker);
    if (called) {  // judged when all is known: docs/design.md 11
    } else if (task.confirmedAt)
      broken(1, witness.at, what + " starts again after finishing well");
    else if (task.finishedAt)
      startedUnaware(witness, task, what);
    if (job.cancelledAt && witness.at > *job.cancelledAt + 3000 + options.slack &&
        !(called && (witness.late || disturbedWithin(*job.cancelledAt, witness.at))))
      broken(5, witness.at, what + " starts long after its job was cancelled");
    if (auto left = leavingSince.find(witness.worker);
        left != leavingSince.end() && !called && witness.at > left->second + 2000 + options.slack)
      broken(9, witness.at, what + " starts on " + witness.worker + ", which is leaving");
    if (const auto* submission = submissionOf(witness.job)) {
      const auto [step, within] = placeOf(*submission, witness.task);
      if (step >= submission->steps.size())
        return broken(3, witness.at, what + " is none of the job's tasks");
      for (const auto& before : submission->steps[step].after)
        for (std::uint32_t other = 0; other < submission->steps.size(); ++other)
          if (submission->steps[other].name == before) {
            const auto first = firstTask(*submission, other);
            for (std::uint32_t at = first; at < first + submission->steps[other].tasks.size(); ++at)
              if (!job.tasks[at].finishedAt)
                broken(6, witness.at, what + " starts before step " + before + " is done");
          }
      if (submission->timed()) {
        const auto mark = witness.job.find('@');
        const auto count = mark == std::string::npos
                               ? 0
                               : std::strtoll(witness.job.c_str() + mark + 1, nullptr, 10);
        const auto due = submission->timetable.first.milliseconds +
                         count * submission->timetable.every.milliseconds;
        if (witness.at + options.slack < due)
          broken(6, witness.at, what + " starts " + std::to_string(due - witness.at) + " ms early");
      }
      if (auto allowed = options.retriesOf.find(submission->queue.value);
          allowed != options.retriesOf.end()) {
        std::size_t counted = 1;
        for (const auto& run : task.runs)
          counted += run.ending != "ran_out";
        if (counted > 1 + allowed->second)
          broken(7, witness.at,
                 what + " starts for the " + std::to_string(counted) + "th time with " +
                     std::to_string(allowed->second) + " retries allowed");
      }
    }
    Run run;
    run.worker = witness.worker;
    run.attempt = witness.attempt;
    run.startedAt = witness.at;
    run.resume(witness.at);
    run.trial = witness.trial;
    run.cores = witness.cores;
    run.memory = witness.memory;
    run.accelerators = witness.accelerators;
    run.called = called;
    run.late = witness.late;
    task.runs.push_back(run);
    room(witness);
  }

  // The work had ended well, but its worker had no chance to tell, or no answer:
  // docs/design.md 5.5.
  void startedUnaware(const HistoryEvent& witness, const TaskHistory& task,
                      const std::string& what) {
    const auto done = std::find_if(task.runs.begin(), task.runs.end(),
                                   [](const Run& run) { return run.ending == "finished"; });
    if (done == task.runs.end())
      return;
    auto lost = vanishedAt.find(done->worker);
    const std::string text = what + " starts again after an ending that was not yet confirmed: ";
    if (lost != vanishedAt.end() && lost->second >= *task.finishedAt)
      limit(1, witness.at, text + done->worker + " vanished before it was");
    else if (disturbedWithin(*task.finishedAt, witness.at))
      limit(1, witness.at, text + done->worker + " could not tell in time");
    else
      broken(1, witness.at, text + "and nothing was in the way");
  }

  void resumed(const HistoryEvent& witness) {
    auto* run = runOf(witness);
    if (!run)
      return;
    for (auto& other : jobs[witness.job].tasks[witness.task].runs)
      if (&other != run && !other.endedAt && other.active)
        broken(1, witness.at,
               nameOf(witness.job, witness.task) + " is resumed on " + witness.worker +
                   " while it runs on " + other.worker);
    if (jobs[witness.job].tasks[witness.task].confirmedAt)
      broken(1, witness.at, nameOf(witness.job, witness.task) + " is resumed after finishing well");
    run->resume(witness.at);
    room(witness);
  }

  void ended(const HistoryEvent& witness) {
    auto& job = jobs[witness.job];
    auto& task = job.tasks[witness.task];
    for (auto& run : task.runs)
      if (run.attempt == witness.attempt && run.worker == witness.worker && !run.endedAt) {
        if (run.active)
          keptRunning(job, nameOf(witness.job, witness.task), run, witness.at);
        run.end(witness.at, witness.detail);
        // A gang's member that is alone waits for nothing: the others were not started, or not in
        // time.
        if (run.called && witness.detail == "alone" && !job.cancelledAt &&
            !disturbedWithin(run.startedAt - 1000, witness.at))
          broken(16, witness.at,
                 nameOf(witness.job, witness.task) + " waited alone on " + run.worker +
                     " for the rest of its gang, with no fault about");
      }
    if (witness.detail != "finished")
      return;
    if (!task.finishedAt)
      task.finishedAt = witness.at;
    if (isCalled(witness.worker))
      eachMemberOf(witness.job, job, witness.task, witness.attempt,
                   [&](TaskHistory& member, const Run&) {
                     if (!member.finishedAt)
                       member.finishedAt = witness.at;
                   });
  }
  // docs/design.md 5.5: an ending is final once the worker has its confirmation; before that nobody
  // else can know of it.
  void confirmed(const HistoryEvent& witness) {
    auto& task = jobs[witness.job].tasks[witness.task];
    if (witness.detail == "finished" && !task.confirmedAt)
      task.confirmedAt = witness.at;
    for (auto& run : task.runs)
      if (run.attempt == witness.attempt && run.worker == witness.worker && run.endedAt &&
          !run.notedAt)
        run.notedAt = witness.at;
  }

  void vanished(const HistoryEvent& witness) {
    vanishedAt[witness.worker] = witness.at;
    for (auto& [id, job] : jobs)
      for (auto& [place, task] : job.tasks)
        for (auto& run : task.runs)
          if (run.worker == witness.worker && !run.endedAt)
            run.end(witness.at, "vanished");
  }

  void room(const HistoryEvent& witness) {
    auto capacity = capacities.find(witness.worker);
    if (capacity == capacities.end() || capacity->second.guards)
      return;
    std::uint64_t cores = 0, memory = 0, accelerators = 0;
    for (const auto& [id, job] : jobs)
      for (const auto& [place, task] : job.tasks)
        for (const auto& run : task.runs)
          if (run.worker == witness.worker && !run.endedAt) {
            memory += run.memory;
            if (run.active)
              cores += run.cores;
            accelerators += run.accelerators;
          }
    if (cores > capacity->second.cores || memory > capacity->second.memory ||
        accelerators > capacity->second.accelerators)
      broken(10, witness.at,
             witness.worker + " was given " + std::to_string(cores) + " cores and " +
                 std::to_string(memory) + " MB, more than it holds");
  }

  void judgeOrder(const HistoryEvent& witness) {
    if (auto fault = configOrders.see(witness))
      broken(11, witness.at, *fault);
  }

  std::vector<HistoryEvent> history;
  const std::map<std::string, JobSubmission>& submissions;
  const InvariantOptions& options;
  std::map<std::string, JobHistory> jobs;
  std::map<std::string, std::int64_t> leavingSince;
  std::map<std::string, HistoryEvent> capacities;
  std::map<std::string, std::string> savedBy;  // by checkpoint: the task or gang it belongs to
  std::map<std::pair<std::string, std::string>, std::string>
      broughtBy;  // by gang and run: the checkpoint its members bring
  std::vector<std::pair<std::int64_t, std::uint64_t>> configs;
  std::map<std::string, std::uint64_t> seenConfig;
  ConfigOrderChecker configOrders;
  std::optional<std::int64_t> wholeSince, settledAt;
  std::map<std::string, std::int64_t> vanishedAt;
  std::vector<std::pair<std::int64_t, std::int64_t>> disturbances;
  CheckReport found;
};

}  // namespace

CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options) {
  return Checker(std::move(history), submissions, options).check();
}

}  // namespace aniseline
