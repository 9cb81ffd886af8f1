// What our own processes say to each other: framed, checksummed Boost.Serialization over TCP.
// docs/design.md 9.3.
#pragma once
#include "net/loop.hpp"
#include "controller/controller.hpp"

namespace aniseline {

struct RouteQuery {
  Contact gateway;  // of a gateway that asks, else empty
  Address
      controller;  // of a controller that asks, so that whoever is asked learns of it; else empty
  bool mayFound = false;  // it is blank and may found a cluster. docs/design.md 3.7
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& gateway& controller& mayFound;
  }
};
struct RouteReply {
  RouteView view;
  ControllerId id;
  Address peer;
  ZoneName zone;
  bool blank = false;  // it knows of no cluster
  bool leads = false;
  bool stores = true;  // it has a disk, so it may found and vote
  Address founder;     // of one that has none: the controller that it named to found
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& id& peer& zone& blank& leads& stores& founder;
  }
};
struct BootstrapRequest {  // an operator's word: found a new cluster here
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};
using WireBody =
    boost::variant<PeerMessage, ApiRequest, ApiResponse, RouteQuery, RouteReply, BootstrapRequest>;
struct WireMessage {
  std::uint64_t correlation = 0;
  WireBody body;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& correlation& body;
  }
};

struct WireError {
  enum class Kind { unreachable, lost, late, garbled } kind = Kind::unreachable;
  std::string text;
};

constexpr std::uint32_t wireFormat = 5;
std::string encode(const WireMessage& message);
// One whole message, as encode gives it.
Result<WireMessage, WireError> decode(const std::string& bytes);
// Reads one message; a peer that speaks another format, or garbles, is an error and its connection
// ends.
Result<WireMessage, WireError> readMessage(tcp::socket& socket);
// Reads what one peer sends on one connection. A caller's correlations only rise there, so a
// request whose bytes come twice is handed out once; the second ends the connection.
class WireReader {
 public:
  explicit WireReader(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  Result<WireMessage, WireError> next();

 private:
  std::shared_ptr<tcp::socket> socket;
  std::uint64_t lastCorrelation = 0;
};
// What may wait on one connection, in bytes: room for the largest answers. What consensus queues
// to a peer is bounded more tightly by the peer's window. A single larger message still passes.
constexpr std::size_t largestQueue = 16 * 1024 * 1024;
// Writes queued bytes in order on one socket. Owned jointly by the fibers of its connection.
class WireWriter {
 public:
  explicit WireWriter(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  bool send(std::string bytes);  // false: the queue is full or the connection is over
  void run();                    // the writing fiber
  void close();

 private:
  std::shared_ptr<tcp::socket> socket;
  std::deque<std::string> queue;
  std::size_t queued = 0;
  bool closed = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable some;
};

// A connection that asks and is answered; reconnects when used after a loss. For the fibers of one
// thread.
class WireCaller {
 public:
  // A connection on which calls went unanswered this long carries no new ones: its far end may be
  // gone without a word, and TCP would go on trying for minutes.
  static constexpr Duration silentLimit{2000};
  WireCaller(Loop& loop, Address address, Duration silentAfter = silentLimit)
      : loop(loop), address(std::move(address)), silentAfter(silentAfter) {}
  ~WireCaller();
  // An error of kind `unreachable` means that nothing was sent.
  // `abandoned` is asked now and then whether to wait on; true ends the wait as late, or as
  // unreachable while there is no connection yet.
  Result<WireMessage, WireError> call(WireBody body, Duration within,
                                      const std::function<bool()>& abandoned = {});
  bool post(WireMessage message);  // without an answer; lost when it can't be sent

 private:
  struct Waiting {
    boost::fibers::promise<Result<WireMessage, WireError>> promise;
  };
  struct Connection {
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<WireWriter> writer;
    std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting;
    bool open = true, retired = false;
    std::optional<MonotonicTime> unansweredSince;  // a call left and nothing was heard since
    void closeIfDone();  // retired: as soon as nobody waits for an answer on it
  };
  void retireIfSilent(const std::shared_ptr<Connection>& link);
  std::shared_ptr<Connection> connection(Duration within,
                                         const std::function<bool()>& abandoned = {});
  Loop& loop;
  Address address;
  Duration silentAfter;
  std::shared_ptr<Connection> current;
  bool connecting = false;
  MonotonicTime notBefore{0};
  std::uint64_t nextCorrelation = 1;
};

}  // namespace aniseline
