// Implements the drain schedules and the drain loop, which polls the connection counts.
#include "daemons/connection_drain.hpp"

namespace aniseline {

namespace {

constexpr Duration pollInterval{10};
// The time reserved for writing final responses and for clients to close their side: this duration,
// but at most a quarter of the shutdown.
constexpr Duration maxClosingTime{1000};
constexpr std::int64_t closingPart = 4;
// The tolerated delay of a periodic request.
constexpr Duration periodicRequestDelay{500};
// A connection that was idle for less is not closed, because the first request of a new connection
// may still be in transit.
constexpr Duration minIdleTime{500};

ConnectionCounts countsOf(const std::vector<HttpServer*>& servers) {
  ConnectionCounts sum;
  for (const HttpServer* server : servers)
    sum += server->counts();
  return sum;
}

Duration closingTimeOf(Duration stopTimeout) {
  return std::min(maxClosingTime, Duration{stopTimeout.milliseconds / closingPart});
}

}  // namespace

DrainSchedule drainScheduleWithin(Duration stopTimeout, Duration accepting) {
  const Duration waiting = stopTimeout - closingTimeOf(stopTimeout);
  return {std::min(accepting, waiting), waiting, stopTimeout};
}

DrainSchedule drainScheduleForPeriodicClients(Duration stopTimeout, Duration period) {
  const DrainSchedule longest = drainScheduleWithin(stopTimeout, Duration{0});
  const Duration waiting = std::min(longest.waiting, period + periodicRequestDelay);
  return {Duration{0}, waiting, std::min(stopTimeout, waiting + closingTimeOf(stopTimeout))};
}

picojson::object cutConnectionFields(const ConnectionCounts& cut) {
  return {{"cut_idle", json(cut.idle)},
          {"cut_answering", json(cut.answering)},
          {"cut_other", json(cut.other)}};
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
