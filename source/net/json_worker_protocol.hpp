// Encodes and decodes aniseline's own protocol between an agent and a worker that serves HTTP
// calls: JSON over HTTP, with one encoder and one decoder for each message. docs/api.md 5.
#ifndef ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
#define ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
#include "net/worker_protocol.hpp"

namespace aniseline {

// Returns the agent's side of the protocol.
WorkerProtocol jsonWorkerProtocol();

// The worker's side of the protocol. A request that is not a call, or that has an invalid body, is
// an error that names the field.
Result<WorkerCall> decodeWorkerCall(const HttpRequest& request);
ApiResponse encodeWorkerReply(const WorkerCall& call, const WorkerReply& reply);
HttpRequest encodeRegistration(const WorkerRegistration& registration);
HttpRequest encodeShutdownNotice(const WorkerId& instance);

}  // namespace aniseline

#endif  // ANISELINE_NET_JSON_WORKER_PROTOCOL_HPP
