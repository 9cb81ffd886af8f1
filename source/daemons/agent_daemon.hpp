// Declares the agent daemon. An agent runs beside one worker that accepts calls but makes none to
// the cluster: the agent delivers the leader's orders to it and reports its state to the leader.
// docs/design.md 5.8, 9.
#ifndef ANISELINE_DAEMONS_AGENT_DAEMON_HPP
#define ANISELINE_DAEMONS_AGENT_DAEMON_HPP
#include "net/leader_forwarder.hpp"
#include "net/worker_protocol.hpp"

namespace aniseline {

struct AgentSettings {
  Address listenAddress;  // the worker sends its registrations to this address
  Address workerAddress;  // the agent sends its calls to this address
  std::string zone;
  std::vector<Address> seeds;  // controllers or gateways to contact first
  bool quiet = false;          // disables logging
  NodeAgentOptions options;
  Duration syncLongPollTimeout{1000};  // the leader holds a sync open for new orders this long
  // The agent answers a worker's drain notice within this time; if no leader has logged the notice
  // by then, the answer is an error.
  Duration drainAcknowledgementTimeout{900};
  // The minimum time for which a worker that announces its shutdown without a drain keeps serving.
  Duration defaultDrainPeriod{2000};
  // The interval between registrations of the worker. A shutdown waits for the next registration,
  // but no longer than `stopTimeout`.
  Duration heartbeatInterval{1500};
  Duration stopTimeout{3000};
  WorkerProtocol protocol;
  SeedSource seedSource;  // re-read while the process runs; empty if the seeds never change
};

// Serves until the process is told to stop. Returns the exit status if the agent can't start;
// otherwise ends the process itself.
int runAgent(AgentSettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_AGENT_DAEMON_HPP
