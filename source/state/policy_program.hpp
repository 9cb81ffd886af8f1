// Policy programs: expressions written by operators that rank jobs and decide on suspensions,
// compiled by muParser. docs/design.md 6.3.
#ifndef ANISELINE_STATE_POLICY_PROGRAM_HPP
#define ANISELINE_STATE_POLICY_PROGRAM_HPP
#include <memory>
#include <optional>
#include <string>

namespace aniseline {

/// A compiled expression. Must not be shared between threads, not even for evaluation.
class PolicyProgram {
 public:
  /// The variables of an expression. Times are in hours, memory in MB.
  struct Inputs {
    double wait = 0;
    double runtime = 0;
    double expansion = 0;  // (wait + runtime) / runtime
    double cores = 0;
    double memory = 0;
    double priority = 0;  // "urgency" in expressions
    double slowdown = 0;
    double running = 0;
    double weightWait = 0;
    double weightExpansion = 0;
  };
  /// Throws muParser's exception if the text is not a valid expression; see check().
  explicit PolicyProgram(const std::string& text);
  PolicyProgram(PolicyProgram&&) noexcept;
  ~PolicyProgram();
  /// Returns the value for these inputs, or 0 if it is not a finite number.
  double evaluate(const Inputs& inputs) const;
  /// Returns the error in an expression, or nothing if it is valid.
  static std::optional<std::string> check(const std::string& text);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_POLICY_PROGRAM_HPP
