// The course of one request through a gateway to the leader: whom to ask next, when to give up.
// Sans-IO. docs/design.md 8.3, 9.2.
#pragma once
#include "state/api_request.hpp"

namespace aniseline {

class LeaderCall {
 public:
  enum class Loss : std::uint8_t { unreachable, lost, late };  // unreachable: nothing was sent
  struct Step {
    enum class Kind : std::uint8_t { ask, wait, answer } kind = Kind::ask;
    Address target;
    Duration within;  // of an ask; of a wait its length
    ApiResponse answer;
  };
  using Route = std::function<RouteView()>;
  LeaderCall(const ApiRequest& request, Route route, const std::vector<Address>& seeds,
             MonotonicTime now);
  Step begin(MonotonicTime now) { return ask(now); }
  Step answered(const ApiResponse& answer, MonotonicTime now);
  Step failed(Loss loss, MonotonicTime now);
  Step waited(MonotonicTime now) { return ask(now); }

 private:
  Step ask(MonotonicTime now);
  Step next(MonotonicTime now);
  static Step done(ApiResponse answer);
  Route route;
  const std::vector<Address>& seeds;
  bool mayRepeat;
  MonotonicTime deadline, seekUntil;
  Address hint, asked, passedOver;  // passedOver: did not serve when last asked
  std::size_t turn = 0, hints = 0;
};

}  // namespace aniseline
