// Compilation and evaluation of policy expressions with muParser.
#include "state/policy_program.hpp"
#include <cmath>
#include <muParser.h>

namespace aniseline {

struct PolicyProgram::Implementation {
  Inputs inputs;
  mu::Parser parser;
};

// docs/design.md 6.3: programs are short numeric expressions, so their cost is bounded by their
// length.
PolicyProgram::PolicyProgram(const std::string& text)
    : implementation(std::make_unique<Implementation>()) {
  auto& parser = implementation->parser;
  auto& inputs = implementation->inputs;
  parser.DefineVar("wait", &inputs.wait);
  parser.DefineVar("runtime", &inputs.runtime);
  parser.DefineVar("expansion", &inputs.expansion);
  parser.DefineVar("cores", &inputs.cores);
  parser.DefineVar("memory", &inputs.memory);
  parser.DefineVar("urgency", &inputs.priority);
  parser.DefineVar("slowdown", &inputs.slowdown);
  parser.DefineVar("running", &inputs.running);
  parser.DefineVar("weight_wait", &inputs.weightWait);
  parser.DefineVar("weight_expansion", &inputs.weightExpansion);
  parser.SetExpr(text);
}

PolicyProgram::PolicyProgram(PolicyProgram&&) noexcept = default;
PolicyProgram::~PolicyProgram() = default;

double PolicyProgram::evaluate(const Inputs& inputs) const {
  implementation->inputs = inputs;
  try {
    const double value = implementation->parser.Eval();
    return std::isfinite(value) ? value : 0.0;
  } catch (const mu::Parser::exception_type&) {
    return 0.0;
  }
}

std::optional<std::string> PolicyProgram::check(const std::string& text) {
  constexpr std::size_t maxLength = 400;
  if (text.size() > maxLength)
    return "a policy program may have at most 400 characters";
  if (text.find('=') != std::string::npos && text.find("==") == std::string::npos &&
      text.find("<=") == std::string::npos && text.find(">=") == std::string::npos &&
      text.find("!=") == std::string::npos)
    return "a policy program must not assign";
  try {
    PolicyProgram program(text);
    auto& parser = program.implementation->parser;
    const double withZeros = parser.Eval();
    program.implementation->inputs = {0.1, 0.2, 1.5, 1, 1024, 1, 1.5, 0.1, 0.0167, 1};
    const double withTypicalInputs = parser.Eval();
    if (!std::isfinite(withTypicalInputs) && !std::isfinite(withZeros))
      return "does not give a finite number";
  } catch (const mu::Parser::exception_type& error) {
    return error.GetMsg();
  }
  return std::nullopt;
}

}  // namespace aniseline
