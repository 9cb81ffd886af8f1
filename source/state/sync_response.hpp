// What a worker's sync is answered with, and its JSON, both ways.
// docs/api.md 3.
#ifndef ANISELINE_STATE_SYNC_RESPONSE_HPP
#define ANISELINE_STATE_SYNC_RESPONSE_HPP
#include "state/order.hpp"
#include <picojson.h>

namespace aniseline {

struct SyncResponse {
  Term term;
  std::vector<Order> orders;
  std::vector<AttemptNumber> confirmedAttempts;  // whose results need not be reported again
  Duration lease{3000};
  std::vector<Address> gateways;
  std::uint32_t finalResultCount = 0;  // how many of the report's runResults, from the first on
  // Of an agent's: `orders` are all that are open beyond this one; earlier ones
  // were in another response.
  OrderNumber ordersAfter;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& orders& confirmedAttempts& lease& finalResultCount& ordersAfter;
  }
  picojson::object render() const;
  static Result<SyncResponse> parse(const std::string& body);
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_SYNC_RESPONSE_HPP
