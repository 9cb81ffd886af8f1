// The course of one request through a gateway to the leader: whom to ask next, when to give up.
// Sans-IO. docs/design.md 8.3, 9.2.
#ifndef ANISELINE_GATEWAY_LEADER_CALL_HPP
#define ANISELINE_GATEWAY_LEADER_CALL_HPP
#include "state/api_request.hpp"

namespace aniseline {

class LeaderCall {
 public:
  enum class Failure : std::uint8_t {
    unreachable,
    connectionLost,
    timedOut
  };  // unreachable: nothing was sent
  struct Step {
    enum class Kind : std::uint8_t { send, backOff, complete } kind = Kind::send;
    Address target;
    Duration timeout;  // of an ask; of a wait its length
    ApiResponse response;
  };
  using Route = std::function<LeaderRoute()>;
  LeaderCall(const ApiRequest& request, Route route, const std::vector<Address>& seeds,
             MonotonicTime now);
  Step begin(MonotonicTime now) { return send(now); }
  Step onResponse(const ApiResponse& answer, MonotonicTime now);
  Step onFailure(Failure loss, MonotonicTime now);
  Step onBackoffElapsed(MonotonicTime now) { return send(now); }

 private:
  Step send(MonotonicTime now);
  Step tryNext(MonotonicTime now);
  static Step completeWith(ApiResponse answer);
  Route route;
  const std::vector<Address>& seeds;
  bool idempotent;
  MonotonicTime deadline, leaderSearchDeadline;
  Address leaderHint, lastTarget, skippedTarget;  // passedOver: did not serve when last asked
  std::size_t candidateIndex = 0, hintsFollowed = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_CALL_HPP
