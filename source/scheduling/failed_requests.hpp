// Requests that could not be placed in the current plan. Resources only shrink while a plan is
// made, so a request that is at least as large need not be tried again.
#ifndef ANISELINE_SCHEDULING_FAILED_REQUESTS_HPP
#define ANISELINE_SCHEDULING_FAILED_REQUESTS_HPP
#include "base/types.hpp"
#include <algorithm>
#include <vector>

namespace aniseline::scheduling {

/// The properties that decide whether a single task finds a worker: its size and how long it
/// occupies the worker.
struct RequestShape {
  std::int64_t cores = 0;   // thousandths of a core
  std::int64_t memory = 0;  // MB
  Duration runtime;

  bool requestsAtLeast(const RequestShape& other) const {
    return cores >= other.cores && memory >= other.memory && runtime >= other.runtime;
  }
};

class FailedRequests {
 public:
  /// Reports whether a failed request is no larger than this one in any dimension.
  bool covers(const RequestShape& shape) const {
    return std::any_of(shapes.begin(), shapes.end(),
                       [&](const RequestShape& failed) { return shape.requestsAtLeast(failed); });
  }
  void add(const RequestShape& shape) {
    std::erase_if(shapes,
                  [&](const RequestShape& failed) { return failed.requestsAtLeast(shape); });
    shapes.push_back(shape);
  }

 private:
  std::vector<RequestShape> shapes;  // none of them covers another
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_FAILED_REQUESTS_HPP
