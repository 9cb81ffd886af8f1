// The response to a worker's sync, with its JSON encoding and decoding. docs/api.md 3.
#ifndef ANISELINE_STATE_SYNC_RESPONSE_HPP
#define ANISELINE_STATE_SYNC_RESPONSE_HPP
#include "state/order.hpp"
#include <picojson.h>

namespace aniseline {

struct SyncResponse {
  Term term;
  std::vector<Order> orders;
  // Attempts whose results need not be reported again.
  std::vector<AttemptNumber> confirmedAttempts;
  Duration lease{3000};
  std::vector<Address> gateways;
  // The number of leading entries of the report's runResults that are final.
  std::uint32_t finalResultCount = 0;
  // For an agent: `orders` are all open orders after this one; earlier ones were in another
  // response.
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
