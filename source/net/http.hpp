// HTTP/1.1 with JSON, outward, by Boost.Beast on fibers. docs/design.md 9.4.
#pragma once
#include "net/loop.hpp"
#include "state/api_request.hpp"

namespace aniseline {

struct HttpError {
  enum class Kind { unreachable, lost, late } kind = Kind::unreachable;
  std::string text;
};
struct HttpRequest {
  std::string method, target, body;
  std::vector<std::pair<std::string, std::string>>
      fields{};  // of the header, names in small letters
  std::string field(const std::string& name) const {
    for (const auto& [known, value] : fields)
      if (known == name)
        return value;
    return "";
  }
};

struct HttpLimits {
  std::size_t bodyBytes = 1024 * 1024;
  std::size_t connections = 2000;
  Duration idle{30'000};
  Duration request{10'000};  // to read one request or write one answer
  bool keepFields = false;   // hand the header's fields to the handler
};

// Serves until told to stop; one fiber a connection, all on the thread that calls serve().
class HttpServer {
 public:
  using Handler = std::function<ApiResponse(const HttpRequest&)>;
  HttpServer(Loop& loop, HttpLimits limits, Handler handler)
      : loop(loop), limits(limits), handler(std::move(handler)) {}
  Result<bool, HttpError> listen(const Address& address, bool shared);
  void stop();
  std::size_t connectionCount() const { return connections; }

 private:
  void serveConnection(tcp::socket socket);
  Loop& loop;
  HttpLimits limits;
  Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::atomic<std::size_t> connections{0};
  bool stopping = false;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  Duration retryAfter{0};
};

// GET /v1/contacts[?zone=A], which gateways and controllers answer alike; nothing if the request is
// another. docs/design.md 9.5.
std::optional<ApiResponse> contactsAnswer(const HttpRequest& request, const RouteView& view);

// One kept connection to one address.
class HttpClient {
 public:
  explicit HttpClient(Loop& loop) : loop(loop) {}
  ~HttpClient();
  Result<HttpResponse, HttpError> ask(const Address& address, const HttpRequest& request,
                                      Duration within);

 private:
  struct Connection;
  Loop& loop;
  Address connectedTo;
  std::shared_ptr<Connection> connection;
};

// The controllers that the process at an outer address knows of; none if it knows none or is
// silent.
std::vector<Address> controllersBy(Loop& loop, const Address& seed);

}  // namespace aniseline
