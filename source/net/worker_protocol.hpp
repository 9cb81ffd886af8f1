// The product's own words for workers that are called: an agent's side, and a worker's.
// docs/api.md 5.
#ifndef ANISELINE_NET_WORKER_PROTOCOL_HPP
#define ANISELINE_NET_WORKER_PROTOCOL_HPP
#include "daemons/agent_daemon.hpp"

namespace aniseline {

// An agent's side.
WorkerProtocol jsonWorkerProtocol();

// A worker's side.
Result<WorkerCall> decodeWorkerCall(const HttpRequest& request);
ApiResponse encodeWorkerReply(const WorkerCall& call, const WorkerReply& reply);
HttpRequest encodeRegistration(const WorkerRegistration& account);
HttpRequest encodeShutdownNotice(const WorkerId& life);

}  // namespace aniseline

#endif  // ANISELINE_NET_WORKER_PROTOCOL_HPP
