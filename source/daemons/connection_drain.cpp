#include "daemons/connection_drain.hpp"

namespace aniseline {

namespace {

constexpr Duration pollInterval{10};
// For last answers to be written, and for clients to end their side.
constexpr Duration closingTime{1000};
// The first request of a connection that has just been made is on its way.
constexpr Duration minIdleTime{500};

ConnectionCounts countsOf(const std::vector<HttpServer*>& servers) {
  ConnectionCounts sum;
  for (const HttpServer* server : servers) {
    const ConnectionCounts counts = server->counts();
    sum.idle += counts.idle;
    sum.answering += counts.answering;
    sum.other += counts.other;
  }
  return sum;
}

}  // namespace

DrainSchedule drainScheduleWithin(Duration stopTimeout, Duration accepting) {
  const Duration waiting = std::max(Duration{0}, stopTimeout - closingTime);
  return {std::min(accepting, waiting), waiting, stopTimeout};
}

ConnectionCounts drainConnections(const std::vector<HttpServer*>& servers, MonotonicTime begunAt,
                                  const DrainSchedule& schedule) {
  for (HttpServer* server : servers)
    server->drain();
  while (monotonicNow() < begunAt + schedule.accepting)
    sleepFor(pollInterval);
  for (HttpServer* server : servers)
    server->stop();
  while (countsOf(servers).all() > 0 && monotonicNow() < begunAt + schedule.end) {
    if (monotonicNow() >= begunAt + schedule.waiting) {
      for (HttpServer* server : servers)
        server->closeIdleConnections(minIdleTime);
    }
    sleepFor(pollInterval);
  }
  return countsOf(servers);
}

}  // namespace aniseline
