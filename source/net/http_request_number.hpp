// Reads the request number from the header of a Beast message. docs/design.md 9.3.
#ifndef ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
#define ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
#include "net/http_message.hpp"
#include <cstdlib>

namespace aniseline {

// Returns 0 if the message has no request number.
template <class Message>
std::uint64_t requestNumberOf(const Message& message) {
  return std::strtoull(std::string(message[requestNumberHeader]).c_str(), nullptr, 10);
}

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
