// Closes the HTTP connections of a process that shuts down, each according to its state.
// docs/design.md 9.8, docs/operations.md 4.
//
// A connection is closed once a response has told its client so. Time limits only bound how long
// the process waits for clients that send nothing, and for responses that never become ready. The
// daemons call this in a fiber of the servers' thread.
#ifndef ANISELINE_DAEMONS_CONNECTION_DRAIN_HPP
#define ANISELINE_DAEMONS_CONNECTION_DRAIN_HPP
#include "net/http_server.hpp"

namespace aniseline {

// Deadlines of a connection drain, as durations since the start of the shutdown.
struct DrainSchedule {
  // New connections are accepted until then, because clients and load balancers need time to learn
  // that this process is not ready.
  Duration acceptUntil;
  // Idle clients are waited for until then. After it, pending requests are answered at once and
  // idle connections are closed.
  Duration waitUntil;
  // Connections that are still open then are aborted.
  Duration abortAt;
};

// Returns the schedule of a process whose shutdown may take `stopTimeout`. The last second of it,
// or the last quarter if it is shorter than four seconds, is reserved for final responses.
DrainSchedule drainScheduleWithin(Duration stopTimeout, Duration acceptUntil);

// Returns the schedule of a server whose clients all send a request once per `period`. A client
// that sends none for longer is not waited for.
DrainSchedule drainScheduleForPeriodicClients(Duration stopTimeout, Duration period);

// Returns the fields of the log event `stopped` that count the aborted connections by state.
picojson::object abortedConnectionFields(const ConnectionCounts& aborted);

// Drains the servers and returns once no connection is open, or at the end of the schedule.
// Returns the number of connections that are still open then; the caller ends the process.
ConnectionCounts drainConnections(const std::vector<HttpServer*>& servers, MonotonicTime startedAt,
                                  const DrainSchedule& schedule);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONNECTION_DRAIN_HPP
