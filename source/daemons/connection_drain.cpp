// Implements the drain schedules and the drain loop, which polls the connection counts.
#include "daemons/connection_drain.hpp"

namespace aniseline {

namespace {

constexpr Duration pollInterval{10};
// The time reserved for writing final responses and for clients to close their side: this duration,
// but at most a quarter of the shutdown.
constexpr Duration maxClosingTime{1000};
constexpr std::int64_t closingTimeDivisor = 4;
// The tolerated delay of a periodic request.
constexpr Duration periodicRequestDelay{500};
// A connection that was idle for less is not closed, because the first request of a new connection
// may still be in transit.
constexpr Duration minIdleTime{500};

ConnectionCounts totalCounts(const std::vector<HttpServer*>& servers) {
  ConnectionCounts sum;
  for (const HttpServer* server : servers)
    sum += server->counts();
  return sum;
}

Duration closingTimeOf(Duration stopTimeout) {
  return std::min(maxClosingTime, Duration{stopTimeout.milliseconds / closingTimeDivisor});
}

}  // namespace

DrainSchedule drainScheduleWithin(Duration stopTimeout, Duration acceptUntil) {
  const Duration waitUntil = stopTimeout - closingTimeOf(stopTimeout);
  return {std::min(acceptUntil, waitUntil), waitUntil, stopTimeout};
}

DrainSchedule drainScheduleForPeriodicClients(Duration stopTimeout, Duration period) {
  const DrainSchedule longest = drainScheduleWithin(stopTimeout, Duration{0});
  const Duration waitUntil = std::min(longest.waitUntil, period + periodicRequestDelay);
  return {Duration{0}, waitUntil, std::min(stopTimeout, waitUntil + closingTimeOf(stopTimeout))};
}

picojson::object abortedConnectionFields(const ConnectionCounts& aborted) {
  return {{"cut_idle", json(aborted.idle)},
          {"cut_answering", json(aborted.answering)},
          {"cut_other", json(aborted.other)}};
}

ConnectionCounts drainConnections(const std::vector<HttpServer*>& servers, MonotonicTime startedAt,
                                  const DrainSchedule& schedule) {
  for (HttpServer* server : servers)
    server->drain();
  while (monotonicNow() < startedAt + schedule.acceptUntil)
    sleepFor(pollInterval);
  for (HttpServer* server : servers)
    server->stop();
  while (totalCounts(servers).all() > 0 && monotonicNow() < startedAt + schedule.abortAt) {
    if (monotonicNow() >= startedAt + schedule.waitUntil) {
      for (HttpServer* server : servers)
        server->closeIdleConnections(minIdleTime);
    }
    sleepFor(pollInterval);
  }
  return totalCounts(servers);
}

}  // namespace aniseline
