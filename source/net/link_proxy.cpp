// Copies bytes in both directions of each connection and holds them back during a partition.
#include "net/link_proxy.hpp"
#include <boost/asio/write.hpp>

namespace aniseline {

Result<bool> LinkProxy::open(const Address& listenAddress, const Address& target,
                             std::string zone) {
  auto endpoint = parseEndpoint(listenAddress), targetEndpoint = parseEndpoint(target);
  if (!endpoint)
    return endpoint.error();
  if (!targetEndpoint)
    return targetEndpoint.error();
  auto acceptor = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*acceptor, endpoint.value(), peerBacklog))
    return CoreError::at(CoreError::Kind::invalid, listenAddress.value,
                         "can't listen: " + error.message());
  spawn([this, acceptor, targetEndpoint = targetEndpoint.value(), zone = std::move(zone)] {
    for (;;) {
      auto clientSocket = std::make_shared<tcp::socket>(loop.context);
      if (await([&](auto done) { acceptor->async_accept(*clientSocket, done); }).error) {
        sleepFor(Duration{10});
        continue;
      }
      spawn([this, clientSocket, targetEndpoint, zone] {
        IoError ignored;
        const std::string from =
            zoneLookup(clientSocket->remote_endpoint(ignored).address().to_string());
        while (blocked(from, zone))
          sleepFor(Duration{20});
        auto targetSocket = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { targetSocket->async_connect(targetEndpoint, done); }).error) {
          clientSocket->close(ignored);
          return;
        }
        clientSocket->set_option(tcp::no_delay(true), ignored);
        targetSocket->set_option(tcp::no_delay(true), ignored);
        spawn([this, clientSocket, targetSocket, from, zone] {
          forward(clientSocket, targetSocket, from, zone);
        });
        forward(targetSocket, clientSocket, zone, from);
      });
    }
  });
  return true;
}

void LinkProxy::setPartitioned(const std::string& zone, bool partitioned) {
  if (partitioned)
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
