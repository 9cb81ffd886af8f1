// The product's own words for workers that are called: an agent's side, and a worker's.
// docs/api.md 5.
#pragma once
#include "daemons/agent_daemon.hpp"

namespace aniseline {

// An agent's side.
WorkerProtocol workerProtocol();

// A worker's side.
Result<WorkerCall> readWorkerCall(const HttpRequest& request);
ApiResponse writeWorkerReply(const WorkerCall& call, const WorkerReply& reply);
HttpRequest writeAccount(const WorkerAccount& account);
HttpRequest writeLeave(const WorkerId& life);

}  // namespace aniseline
