// Results of attempts, identified by attempt number or by the run id that workers use.
// docs/design.md 4.7.
#ifndef ANISELINE_STATE_ATTEMPT_RESULT_HPP
#define ANISELINE_STATE_ATTEMPT_RESULT_HPP
#include "state/occurrence.hpp"
#include "state/order.hpp"

namespace aniseline {

/// `neverStarted`: the worker stopped the attempt before it ran. `rejected`: the worker refused to
/// start it.
enum class AttemptOutcome : std::uint8_t {
  succeeded,
  failed,
  stopped,
  quantumExpired,
  neverStarted,
  rejected
};
const char* name(AttemptOutcome outcome);
/// Returns the outcome with this name on the wire, or nothing if there is none.
std::optional<AttemptOutcome> parseAttemptOutcome(const std::string& text);

struct AttemptResult {
  AttemptNumber attempt;
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  std::string checkpoint{};  // its latest one
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& attempt& outcome& checkpoint;
  }
};

/// Identifies one run of a task on the wire; agents know attempts by this id only. For an
/// occurrence, `job` is the id of its timetable.
struct TaskRunId {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t stepIndex = 0;
  std::uint32_t indexInStep = 0;
  std::uint32_t runNumber = 0;
  static TaskRunId of(const Order& order) {
    TaskRunId id{order.job, 0, order.stepIndex, order.indexInStep, order.runNumber};
    if (auto occurrence = OccurrenceId::parse(order.job)) {
      id.job = occurrence->timetable;
      id.occurrence = std::uint32_t(std::strtoul(occurrence->number.c_str(), nullptr, 10));
    }
    return id;
  }
  auto operator<=>(const TaskRunId&) const = default;
  bool operator==(const TaskRunId&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& occurrence& stepIndex& indexInStep& runNumber;
  }
};

struct TaskRunResult {
  TaskRunId runId;
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  std::string checkpoint{};  // its latest one
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& runId& outcome& checkpoint;
  }
};

/// A checkpoint saved by a run that has not ended.
struct TaskCheckpoint {
  TaskRunId runId;
  std::string checkpoint;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& runId& checkpoint;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_RESULT_HPP
