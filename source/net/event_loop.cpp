// Parses endpoints and opens listening sockets.
#include "net/event_loop.hpp"

namespace aniseline {

Result<tcp::endpoint> parseEndpoint(const Address& address) {
  auto fail = [&] {
    return CoreError::at(
        CoreError::Kind::invalid, "",
        "'" + address.value + "' is not an IP address and port such as 127.0.0.1:8000");
  };
  const auto colon = address.value.rfind(':');
  if (colon == std::string::npos)
    return fail();
  std::string host = address.value.substr(0, colon);
  const std::string port = address.value.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos)
    return fail();
  const int number = std::stoi(port);
  IoError error;
  const auto parsed = asio::ip::make_address(host, error);
  if (error || number < 1 || number > 65535)
    return fail();
  return tcp::endpoint(parsed, static_cast<unsigned short>(number));
}

IoError listenOn(tcp::acceptor& acceptor, const tcp::endpoint& endpoint, int backlog, bool shared) {
  IoError error;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (shared)
    acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true),
                        error);
  acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(backlog, error);
  if (!error)
    acceptor.non_blocking(true, error);
  return error;
}

}  // namespace aniseline
