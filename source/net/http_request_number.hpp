// Reads the number of a request from a message of Beast. docs/design.md 9.3.
#ifndef ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
#define ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
#include "net/http_message.hpp"
#include <cstdlib>

namespace aniseline {

// 0: the message has none.
template <class Message>
std::uint64_t requestNumberOf(const Message& message) {
  return std::strtoull(std::string(message[requestNumberHeader]).c_str(), nullptr, 10);
}

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_REQUEST_NUMBER_HPP
