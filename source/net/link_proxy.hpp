// Forwards connections between the processes of a fleet on one machine, so that a zone can be
// partitioned from the others.
// docs/operations.md 6.
#ifndef ANISELINE_NET_LINK_PROXY_HPP
#define ANISELINE_NET_LINK_PROXY_HPP
#include "net/event_loop.hpp"

namespace aniseline {

// For the fibers of one thread; open connections end with the process.
class LinkProxy {
 public:
  // The zone of whoever connects from an IP number; empty: from outside of all zones, never cut.
  using ZoneLookup = std::function<std::string(const std::string& ip)>;
  LinkProxy(EventLoop& loop, ZoneLookup zoneLookup)
      : loop(loop), zoneLookup(std::move(zoneLookup)) {}
  // Takes connections at one address and passes them on to another, in the zone named.
  Result<bool> open(const Address& at, const Address& target, std::string zone);
  // Nothing passes to or from a partitioned zone; what was under way waits, as on a real wire.
  void setPartitioned(const std::string& zone, bool cut);

 private:
  bool blocked(const std::string& from, const std::string& to) const;
  void forward(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
               std::string fromZone, std::string toZone);
  EventLoop& loop;
  ZoneLookup zoneLookup;
  std::set<std::string> partitionedZones;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_LINK_PROXY_HPP
