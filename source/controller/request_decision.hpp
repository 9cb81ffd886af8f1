// What a handler decides of a request: the response, and the event to be logged
// for it, if any.
#ifndef ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
#define ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
#include "state/api_request.hpp"
#include "state/event.hpp"

namespace aniseline {

// The response is sent once the log is committed up to the event, or, without
// an event, up to what the decision was based on.
struct RequestDecision {
  ApiResponse response;
  std::optional<Event> event;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REQUEST_DECISION_HPP
