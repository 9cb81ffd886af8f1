// A worker's side of the cluster: keeps a worker that calls gateways in sync with the leader.
// docs/api.md 3, 4.
#ifndef ANISELINE_NET_WORKER_CLIENT_HPP
#define ANISELINE_NET_WORKER_CLIENT_HPP
#include "agent/worker_session.hpp"
#include "gateway/peer_directory.hpp"
#include "net/http_client.hpp"

namespace aniseline {

// Runs the session's core over HTTP; the program connects its slots to the signals. All on the
// thread that calls `run`.
class WorkerClient {
 public:
  WorkerClient(EventLoop& loop, WorkerSession::Options options, Incarnation incarnation,
               std::vector<Address> gateways);

  // What the worker has to do now.
  boost::signals2::signal<void(const TaskCommand&)> command;
  // The leader has declared the former incarnation gone; the worker goes on as this one.
  boost::signals2::signal<void(Incarnation)> incarnationChanged;
  // The leader knows the result of an order's task, which may be handed out now.
  boost::signals2::signal<void(const Order&, AttemptOutcome)> confirmed;
  // The leader's text, as when another process has this id.
  boost::signals2::signal<void(const std::string&)> rejected;

  // Syncs until the flag is set.
  void run(const std::atomic<bool>& stop);
  // A task has ended by itself.
  void attemptEnded(AttemptNumber attempt, bool succeeded);
  // Takes no new work; what runs may go on for so long.
  void startDrain(Duration timeout);
  // For tests of the library's users: while set nothing is sent.
  bool partitioned = false;
  const WorkerSession& session() const { return workerSession; }

 private:
  void deliverEvents();
  void tickUntil(const std::atomic<bool>& stop);
  void syncUrgentUntil(const std::atomic<bool>& stop);
  void sync(HttpClient& client);
  void onFailedSync(HttpClient& client, const Result<HttpResponse, HttpError>& answer,
                    const Address& gateway, const SyncReport& report);
  void refreshGateways(HttpClient& client, const Address& gateway, const ZoneName& zone);

  EventLoop& loop;
  WorkerSession workerSession;
  PeerDirectory gatewayDirectory;
  Random random;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WORKER_CLIENT_HPP
