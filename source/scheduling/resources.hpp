// Resource amounts that workers offer and tasks request, with their arithmetic.
#ifndef ANISELINE_SCHEDULING_RESOURCES_HPP
#define ANISELINE_SCHEDULING_RESOURCES_HPP
#include <algorithm>
#include <cstdint>

namespace aniseline::scheduling {

struct Resources {
  std::int64_t cores = 0;         // thousandths of a core
  std::int64_t memory = 0;        // MB
  std::int64_t accelerators = 0;  // whole devices

  Resources& operator+=(const Resources& other) {
    cores += other.cores;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cores -= other.cores;
    memory -= other.memory;
    accelerators -= other.accelerators;
    return *this;
  }
  /// Reports whether there is at least as much of each resource.
  bool covers(const Resources& needed) const {
    return cores >= needed.cores && memory >= needed.memory && accelerators >= needed.accelerators;
  }
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
};

/// Returns the smaller amount of each resource.
inline Resources leastOf(const Resources& left, const Resources& right) {
  return {std::min(left.cores, right.cores), std::min(left.memory, right.memory),
          std::min(left.accelerators, right.accelerators)};
}

/// Returns the resources of any type that has the field names of the cluster state: a worker's
/// capacity, a task's request, an attempt.
template <class Holder>
Resources resourcesOf(const Holder& holder) {
  return {std::int64_t(holder.cores), std::int64_t(holder.memory),
          std::int64_t(holder.accelerators)};
}

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_RESOURCES_HPP
