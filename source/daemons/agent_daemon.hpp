// The agent as a daemon: the agent beside one worker that is called rather than calls.
// docs/design.md 5.8, 9.
#ifndef ANISELINE_DAEMONS_AGENT_DAEMON_HPP
#define ANISELINE_DAEMONS_AGENT_DAEMON_HPP
#include "net/leader_forwarder.hpp"
#include "agent/node_agent.hpp"

namespace aniseline {

// How a kind of worker is spoken to; an adapter gives these.
struct WorkerProtocol {
  std::function<HttpRequest(const WorkerCall&)> encodeCall;
  std::function<WorkerReply(const WorkerCall&, const Result<HttpResponse, HttpError>&)> decodeReply;
  struct Notice {
    WorkerRegistration account;
    bool shuttingDown = false;  // it says that it is about to end, and nothing else of itself
  };
  std::function<std::optional<Notice>(const HttpRequest&)>
      decodeNotice;  // nothing: the request is none of a worker's
};

struct AgentSettings {
  Address listenAddress;  // where the worker makes itself known
  Address workerAddress;  // where it is called
  std::string zone;
  std::vector<Address> seeds;
  bool quiet = false;
  NodeAgentOptions options;
  Duration syncWait{1000};  // a sync waits for orders this long
  Duration drainAcknowledgementTimeout{
      900};  // a word of leaving is answered by then, or not acknowledged
  Duration defaultDrainPeriod{
      2000};  // how long one that leaves with no other word serves on, at least
  WorkerProtocol protocol;
  SeedSource seedSource;
};

// Serves until it is told to stop; the process' exit status.
int runAgent(AgentSettings settings);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_AGENT_DAEMON_HPP
