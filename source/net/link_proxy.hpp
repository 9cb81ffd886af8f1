// Forwards connections between processes on one machine so that a zone can be partitioned from the
// others. docs/operations.md 6.
#ifndef ANISELINE_NET_LINK_PROXY_HPP
#define ANISELINE_NET_LINK_PROXY_HPP
#include "net/event_loop.hpp"

namespace aniseline {

// Used by fibers of one thread; connections stay open until the process ends.
class LinkProxy {
 public:
  // Returns the zone of a client with this IP address; empty for a client outside of all zones,
  // whose connections are never partitioned.
  using ZoneLookup = std::function<std::string(const std::string& ip)>;
  LinkProxy(EventLoop& loop, ZoneLookup zoneLookup)
      : loop(loop), zoneLookup(std::move(zoneLookup)) {}
  // Accepts connections on `listenAddress` and forwards them to `target`, which is in the given
  // zone.
  Result<bool> open(const Address& listenAddress, const Address& target, std::string zone);
  // Starts or ends the partition of a zone. While it lasts, no data passes to or from the zone;
  // data in transit is delayed until the partition ends, as on a real network.
  void setPartitioned(const std::string& zone, bool partitioned);

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
