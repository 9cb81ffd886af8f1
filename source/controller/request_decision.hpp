// The result of handling a request: its response, and the event to log, if any.
#ifndef ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
#define ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
#include "state/api_request.hpp"
#include "state/event.hpp"

namespace aniseline {

// The response is sent once the log is committed up to the event or, if there is no event, up to
// the state on which the decision was based.
struct RequestDecision {
  ApiResponse response;
  std::optional<Event> event;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
