// Limits and intervals of a node agent. All times are in milliseconds.
#ifndef ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
#define ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
#include "base/types.hpp"

namespace aniseline {

struct NodeAgentOptions {
  // The longest lease that the worker accepts.
  Duration maxWorkerLease{6000};
  // The lease that a call requests. The agent renews it, within the leader's lease.
  Duration workerLease{6000};
  // The longest time that a poll may wait for a result.
  Duration maxLongPollTimeout{2000};
  // A worker counts as unresponsive after leaving calls unanswered for longer than this.
  Duration unresponsiveAfter{700};
  // Interval between polls while the outcome of a run is uncertain.
  Duration uncertainPollInterval{200};
  // Interval between polls of a draining worker on which no work is left.
  Duration drainingPollInterval{1000};
  // The number of unanswered polls that are sent to find an instance named in a registration.
  std::uint32_t maxInstanceProbes = 8;
  // The maximum number of starts and stops in flight to the worker.
  std::size_t maxConcurrentCalls = 6;
  // The lowest rate of the worker's clock relative to a true clock.
  double minClockRate = 0.98;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
