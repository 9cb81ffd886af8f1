// The limits and intervals that a node agent works with. All times are in milliseconds.
#ifndef ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
#define ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
#include "base/types.hpp"

namespace aniseline {

struct NodeAgentOptions {
  // The longest lease that the worker accepts.
  Duration maxWorkerLease{6000};
  // The lease that a call asks for. It is renewed from here, within the leader's lease.
  Duration workerLease{6000};
  // The longest that a poll waits for a result.
  Duration maxLongPollTimeout{2000};
  // A worker that has left calls unanswered for longer counts as unresponsive.
  Duration unresponsiveAfter{700};
  // Between polls while it is uncertain what became of a run.
  Duration uncertainPollInterval{200};
  // Between polls of a draining worker at which nothing runs any more.
  Duration drainingPollInterval{1000};
  // So many unanswered polls look for the instance that a registration names.
  std::uint32_t maxInstanceProbes = 8;
  // Starts and stops that are under way to the worker at the same time.
  std::size_t maxConcurrentCalls = 6;
  // The lowest rate of the worker's clock against a true one.
  double minClockRate = 0.98;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_NODE_AGENT_OPTIONS_HPP
