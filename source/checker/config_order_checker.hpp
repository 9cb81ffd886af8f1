// Checks the answers to configuration orders as the operators see them. Of different orders with
// the same base, or with the same version, at most one is ever acknowledged, and an acknowledged
// order is never rejected. docs/design.md 6.1.
#ifndef ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
#define ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
#include "checker/history.hpp"
#include <map>
#include <optional>

namespace aniseline {

class ConfigOrderChecker {
 public:
  // Returns a description of the violation that this order or answer shows, given all earlier
  // events.
  std::optional<std::string> observe(const HistoryEvent& event);

 private:
  struct Order {
    std::uint64_t newestWhenFirstSent =
        0;                      // the newest version acknowledged before this order was first sent
    std::uint64_t version = 0;  // the version it was acknowledged as; 0 if it was not acknowledged
    bool rejected = false;
  };
  // Checks the events of a writer that does not record an order's identity: versions must increase.
  std::optional<std::string> observeUnidentified(const HistoryEvent& event);
  std::optional<std::string> onAcknowledged(const HistoryEvent& event, Order& order);
  std::optional<std::string> onRejected(const HistoryEvent& event, Order& order);
  std::map<std::string, Order> orders;                  // by identity
  std::map<std::uint64_t, std::string> orderByVersion;  // identities of acknowledged orders
  std::map<std::uint64_t, std::string> orderByBase;
  std::uint64_t newestVersion = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
