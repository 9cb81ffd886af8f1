// Checks without blocking whether a socket has data to read. Called by HTTP clients and servers.
#ifndef ANISELINE_NET_SOCKET_STATE_HPP
#define ANISELINE_NET_SOCKET_STATE_HPP
#include "net/event_loop.hpp"
#include <cerrno>
#include <sys/socket.h>

namespace aniseline {

enum class ReceiveQueue : std::uint8_t {
  empty,   // no data has arrived since the last read
  filled,  // data can be read
  ended    // the peer has ended its stream, or the connection is lost
};

inline ReceiveQueue receiveQueueOf(tcp::socket& socket) {
  char byte;
  const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return ReceiveQueue::filled;
  const bool nothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return nothingYet ? ReceiveQueue::empty : ReceiveQueue::ended;
}

inline bool hasUnreadBytes(tcp::socket& socket) {
  return receiveQueueOf(socket) == ReceiveQueue::filled;
}

}  // namespace aniseline

#endif  // ANISELINE_NET_SOCKET_STATE_HPP
