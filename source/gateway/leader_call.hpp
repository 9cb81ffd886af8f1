// The course of one request through a gateway to the leader: whom to ask next, how long to wait,
// and when to give up. docs/design.md 8.3, 9.2.
//
// It does no I/O itself: whoever drives it carries out each step and reports what came of it.
#ifndef ANISELINE_GATEWAY_LEADER_CALL_HPP
#define ANISELINE_GATEWAY_LEADER_CALL_HPP
#include "state/api_request.hpp"

namespace aniseline {

// Belongs to one request and to the thread that forwards it.
class LeaderCall {
 public:
  enum class Failure : std::uint8_t {
    unreachable,     // nothing was sent
    connectionLost,  // it was sent, or a part of it; no answer will come
    timedOut
  };
  struct Step {
    enum class Kind : std::uint8_t {
      send,     // send the request to `target`
      backOff,  // wait for `timeout`
      complete  // `response` is the request's answer
    } kind = Kind::send;
    Address target;
    Duration timeout;
    ApiResponse response;
  };
  // The newest known route to the leader.
  using RouteSource = std::function<LeaderRoute()>;
  // The seeds are asked while the route names no controller; they have to outlive the call.
  LeaderCall(const ApiRequest& request, RouteSource routeSource, const std::vector<Address>& seeds,
             MonotonicTime now);

  Step begin(MonotonicTime now) { return send(now); }
  Step onResponse(const ApiResponse& response, MonotonicTime now);
  Step onFailure(Failure failure, MonotonicTime now);
  Step onBackoffElapsed(MonotonicTime now) { return send(now); }

 private:
  Step send(MonotonicTime now);
  Address chooseTarget();
  Step tryNext(MonotonicTime now);
  static Step completeWith(ApiResponse response);

  RouteSource routeSource;
  const std::vector<Address>& seeds;
  bool idempotent;  // it changes nothing, so it may be sent again after a loss
  MonotonicTime deadline;
  MonotonicTime leaderSearchDeadline;
  Address leaderHint;  // whom the last one asked named as the leader
  Address lastTarget;
  Address skippedTarget;  // did not serve when last asked
  std::size_t candidateIndex = 0;
  std::size_t hintsFollowed = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_CALL_HPP
