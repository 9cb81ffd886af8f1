// State machine for forwarding one request from a gateway to the leader: which controller to
// contact next, how long to wait, and when to give up. docs/design.md 8.3, 9.2.
//
// It performs no I/O. The caller executes each step and reports its result.
#ifndef ANISELINE_GATEWAY_LEADER_CALL_HPP
#define ANISELINE_GATEWAY_LEADER_CALL_HPP
#include "state/api_request.hpp"

namespace aniseline {

// Used for one request, on the thread that forwards it.
class LeaderCall {
 public:
  enum class Failure : std::uint8_t {
    unreachable,     // the request was not sent
    connectionLost,  // the request was sent at least in part, and no response will arrive
    timedOut
  };
  struct Step {
    enum class Kind : std::uint8_t {
      send,     // send the request to `target`
      backOff,  // wait for the duration `timeout`
      complete  // `response` is the final response
    } kind = Kind::send;
    Address target;
    Duration timeout;
    ApiResponse response;
  };
  // Returns the latest known route to the leader.
  using RouteSource = std::function<LeaderRoute()>;
  // The seeds are contacted while the route lists no controllers. They must outlive this object.
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
  bool idempotent;  // the request changes no state, so it may be sent again after a failure
  MonotonicTime deadline;
  MonotonicTime leaderSearchDeadline;
  Address leaderHint;  // leader named in the last response
  Address lastTarget;
  Address skippedTarget;  // did not serve the request at the last attempt
  std::size_t candidateIndex = 0;
  std::size_t hintsFollowed = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_CALL_HPP
