// The agent as a daemon: the agent beside one worker that is called rather than calls.
// docs/design.md 5.8, 9.
#pragma once
#include "net/relay.hpp"
#include "agent/node_agent.hpp"

namespace aniseline {

// How a kind of worker is spoken to; an adapter gives these.
struct WorkerProtocol {
  std::function<HttpRequest(const WorkerCall&)> render;
  std::function<WorkerReply(const WorkerCall&, const Result<HttpResponse, HttpError>&)> read;
  struct Word {
    WorkerAccount account;
    bool left = false;  // it says that it is about to end, and nothing else of itself
  };
  std::function<std::optional<Word>(const HttpRequest&)>
      hear;  // nothing: the request is none of a worker's
};

struct AgentSettings {
  Address listen;  // where the worker makes itself known
  Address worker;  // where it is called
  std::string zone;
  std::vector<Address> seeds;
  bool quiet = false;
  NodeAgentOptions options;
  Duration patience{1000};     // a sync waits for orders this long
  Duration tellWithin{900};    // a word of leaving is answered by then, or not acknowledged
  Duration leaveWithin{2000};  // how long one that leaves with no other word serves on, at least
  WorkerProtocol words;
  SeedSource seedsNow;
};

// Serves until it is told to stop; the process' exit status.
int runAgent(AgentSettings settings);

}  // namespace aniseline
