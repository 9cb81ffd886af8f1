// Policy programs: the operators' expressions that rank jobs and decide on
// suspensions, compiled by muParser. docs/design.md 6.3.
#ifndef ANISELINE_STATE_POLICY_PROGRAM_HPP
#define ANISELINE_STATE_POLICY_PROGRAM_HPP
#include <memory>
#include <optional>
#include <string>

namespace aniseline {

/// A compiled expression. Not to be shared between threads, not even for
/// reading.
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
  /// Throws muParser's exception for a text that `check` has a fault for.
  explicit PolicyProgram(const std::string& text);
  PolicyProgram(PolicyProgram&&) noexcept;
  ~PolicyProgram();
  /// The value for these inputs; 0 where it is not a finite number.
  double evaluate(const Inputs& inputs) const;
  /// What is wrong with an expression; nothing if it is valid.
  static std::optional<std::string> check(const std::string& text);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_POLICY_PROGRAM_HPP
