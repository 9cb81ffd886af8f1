// Rules for operators' orders, as the operators see them: of different ones on a base or under a
// version one is confirmed, ever; one that was taken is never refused. docs/design.md 6.1.
#ifndef ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
#define ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
#include "checker/history.hpp"
#include <map>
#include <optional>

namespace aniseline {

class ConfigOrderChecker {
 public:
  // What is wrong with this order or answer, after all that was seen before it.
  std::optional<std::string> observe(const HistoryEvent& event);

 private:
  struct Order {
    std::uint64_t newestWhenFirstSent =
        0;                      // the newest version acknowledged before it was first sent
    std::uint64_t version = 0;  // under which it was acknowledged; 0: it was not
    bool rejected = false;
  };
  // Of a writer that does not note which order it was: versions must rise.
  std::optional<std::string> observeUnidentified(const HistoryEvent& event);
  std::optional<std::string> onAcknowledged(const HistoryEvent& event, Order& order);
  std::optional<std::string> onRejected(const HistoryEvent& event, Order& order);
  std::map<std::string, Order> orders;                  // by their identity
  std::map<std::uint64_t, std::string> orderByVersion;  // of those acknowledged
  std::map<std::uint64_t, std::string> orderByBase;
  std::uint64_t newestVersion = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_CONFIG_ORDER_CHECKER_HPP
