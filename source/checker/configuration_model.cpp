// Applies orders and reads to the register, and describes them.
#include "checker/configuration_model.hpp"
#include "checker/hash_mix.hpp"

namespace aniseline {

namespace {

using State = ConfigurationModel::State;

bool canApply(const State& state, const ConfigurationOrder& order) {
  const bool higher = order.version == 0 || order.version > state.version;
  return order.base == state.version && higher;
}

State applyOrder(const State& state, const ConfigurationOrder& order) {
  State changed = state;
  changed.version = order.version ? order.version : state.version + 1;
  changed.digest = order.isPatch ? std::string() : order.digest;
  auto applied = std::make_shared<ConfigurationModel::AppliedOrders>(*state.appliedOrders);
  applied->emplace(order, changed.version);
  changed.appliedOrders = std::move(applied);
  mixHash(changed.appliedOrdersHash, std::hash<std::string>()(order.digest));
  mixHash(changed.appliedOrdersHash, changed.version);
  return changed;
}

// Reports whether the answer states this version or none.
bool agreesOnVersion(const ConfigurationOutput& output, std::uint64_t version) {
  return !output.version || *output.version == version;
}

std::optional<State> stateIfApplied(const State& state, const ConfigurationOrder& order,
                                    const ConfigurationOutput& output) {
  const auto earlier = state.appliedOrders->find(order);
  if (earlier != state.appliedOrders->end()) {
    if (!agreesOnVersion(output, earlier->second))
      return std::nullopt;
    return state;
  }
  if (!canApply(state, order))
    return std::nullopt;
  State changed = applyOrder(state, order);
  if (!agreesOnVersion(output, changed.version))
    return std::nullopt;
  return changed;
}

bool canReject(const State& state, const ConfigurationOrder& order,
               const ConfigurationOutput& output) {
  return !state.appliedOrders->count(order) && !canApply(state, order) &&
         agreesOnVersion(output, state.version);
}

// The first read of a patched configuration determines its digest; later reads must return the
// same.
std::optional<State> stateIfShown(const State& state, const ConfigurationOutput& output) {
  if (!agreesOnVersion(output, state.version))
    return std::nullopt;
  if (output.digest == state.digest)
    return state;
  if (!state.digest.empty() || state.version == 0)
    return std::nullopt;
  State changed = state;
  changed.digest = output.digest;
  return changed;
}

std::string describeRead(const ConfigurationModel::Operation& operation,
                         const std::string& version) {
  if (operation.outcome == OperationOutcome::unknown)
    return "read";
  return "read ->" + version + " " + operation.output.digest;
}

std::string describeApply(const ConfigurationModel::Operation& operation,
                          const std::string& version) {
  const ConfigurationOrder& order = operation.input.order;
  std::string text = (order.isPatch ? "patch " : "apply ") + order.digest + " based on " +
                     std::to_string(order.base);
  if (order.version)
    text += " as " + std::to_string(order.version);
  if (operation.outcome == OperationOutcome::unknown)
    return text;
  const bool applied = operation.output.kind == ConfigurationOutput::Kind::applied;
  return text + (applied ? " -> applied" : " -> rejected") + version;
}

}  // namespace

bool ConfigurationModel::State::operator==(const State& other) const {
  if (version != other.version || digest != other.digest)
    return false;
  return appliedOrders == other.appliedOrders || *appliedOrders == *other.appliedOrders;
}

std::optional<ConfigurationModel::State> ConfigurationModel::apply(
    const State& state, const Operation& operation) const {
  const ConfigurationOrder& order = operation.input.order;
  const ConfigurationOutput& output = operation.output;
  switch (output.kind) {
    case ConfigurationOutput::Kind::applied:
      return stateIfApplied(state, order, output);
    case ConfigurationOutput::Kind::rejected:
      if (!canReject(state, order, output))
        return std::nullopt;
      return state;
    case ConfigurationOutput::Kind::shown:
      return stateIfShown(state, output);
  }
  return std::nullopt;
}

ConfigurationModel::State ConfigurationModel::applyUnanswered(const State& state,
                                                              const Operation& operation) const {
  const ConfigurationOrder& order = operation.input.order;
  if (operation.input.kind == ConfigurationInput::Kind::read)
    return state;
  if (state.appliedOrders->count(order) || !canApply(state, order))
    return state;
  return applyOrder(state, order);
}

std::size_t ConfigurationModel::hash(const State& state) const {
  std::size_t seed = state.version;
  mixHash(seed, std::hash<std::string>()(state.digest));
  mixHash(seed, state.appliedOrdersHash);
  return seed;
}

std::string ConfigurationModel::describe(const Operation& operation) const {
  const auto& answered = operation.output.version;
  const std::string version = answered ? " " + std::to_string(*answered) : "";
  return operation.input.kind == ConfigurationInput::Kind::read ? describeRead(operation, version)
                                                                : describeApply(operation, version);
}

}  // namespace aniseline
