#include "net/link_proxy.hpp"
#include <boost/asio/write.hpp>

namespace aniseline {

Result<bool> LinkProxy::open(const Address& at, const Address& target, std::string zone) {
  auto endpoint = parseEndpoint(at), behind = parseEndpoint(target);
  if (!endpoint)
    return endpoint.error();
  if (!behind)
    return behind.error();
  auto acceptor = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*acceptor, endpoint.value(), peerBacklog))
    return CoreError::at(CoreError::Kind::invalid, at.value, "can't listen: " + error.message());
  spawn([this, acceptor, behind = behind.value(), zone = std::move(zone)] {
    for (;;) {
      auto near = std::make_shared<tcp::socket>(loop.context);
      if (await([&](auto done) { acceptor->async_accept(*near, done); }).error) {
        sleepFor(Duration{10});
        continue;
      }
      spawn([this, near, behind, zone] {
        IoError ignored;
        const std::string from = zoneLookup(near->remote_endpoint(ignored).address().to_string());
        while (blocked(from, zone))
          sleepFor(Duration{20});
        auto far = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { far->async_connect(behind, done); }).error) {
          near->close(ignored);
          return;
        }
        near->set_option(tcp::no_delay(true), ignored);
        far->set_option(tcp::no_delay(true), ignored);
        spawn([this, near, far, from, zone] { forward(near, far, from, zone); });
        forward(far, near, zone, from);
      });
    }
  });
  return true;
}

void LinkProxy::setPartitioned(const std::string& zone, bool cut) {
  if (cut)
    partitionedZones.insert(zone);
  else
    partitionedZones.erase(zone);
}

bool LinkProxy::blocked(const std::string& from, const std::string& to) const {
  return !from.empty() && from != to &&
         (partitionedZones.count(from) || partitionedZones.count(to));
}

void LinkProxy::forward(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                        std::string fromZone, std::string toZone) {
  std::vector<char> bytes(64 * 1024);
  IoError ignored;
  for (;;) {
    const auto read = await([&](auto done) { from->async_read_some(asio::buffer(bytes), done); });
    while (!toZone.empty() && blocked(fromZone, toZone))
      sleepFor(Duration{20});
    if (read.error)
      break;
    if (await([&](auto done) {
          asio::async_write(*to, asio::buffer(bytes.data(), read.bytes), done);
        }).error)
      break;
  }
  from->close(ignored);
  to->close(ignored);
}

}  // namespace aniseline
