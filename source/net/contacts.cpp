// Encodes and decodes the contacts response.
#include "net/contacts.hpp"
#include "base/json.hpp"
#include "net/http_status.hpp"

namespace aniseline {

namespace {

constexpr Duration fetchTimeout{500};
constexpr std::string_view contactsPath = "/v1/contacts";
constexpr std::string_view zoneQuery = "?zone=";

picojson::array addressList(const std::vector<Address>& addresses) {
  picojson::array list;
  for (const auto& address : addresses)
    list.push_back(json(address.value));
  return list;
}

// Returns a list in the response; empty if it is missing or invalid.
picojson::array listIn(const HttpResponse& answer, const char* field) {
  picojson::value root;
  if (answer.status != http_status::ok || !parseJson(root, answer.body).empty() ||
      !root.is<picojson::object>() || !root.get(field).is<picojson::array>())
    return {};
  return root.get(field).get<picojson::array>();
}

}  // namespace

std::optional<ApiResponse> answerContactsRequest(const HttpRequest& request,
                                                 const LeaderRoute& route) {
  static std::atomic<std::uint64_t> rotation{0};
  if (request.method != "GET" || !request.target.starts_with(contactsPath))
    return std::nullopt;
  const std::string query = request.target.substr(contactsPath.size());
  if (!query.empty() && !query.starts_with(zoneQuery))
    return std::nullopt;
  const ZoneName zone{query.empty() ? "" : query.substr(zoneQuery.size())};
  const auto gateways = orderedByZonePreference(route.gateways, zone, rotation++);
  return ApiResponse::of(http_status::ok, {{"gateways", json(addressList(gateways))},
                                           {"controllers", json(addressList(route.controllers))},
                                           {"leader", json(route.leader.value)}});
}

std::vector<Address> gatewaysIn(const HttpResponse& answer) {
  std::vector<Address> gateways;
  for (const auto& address : listIn(answer, "gateways"))
    gateways.push_back(Address{address.to_str()});
  return gateways;
}

std::vector<Address> fetchControllers(EventLoop& loop, const Address& seed) {
  HttpClient client(loop);
  const auto answer = client.send(seed, {"GET", std::string(contactsPath), ""}, fetchTimeout);
  std::vector<Address> controllers;
  if (!answer)
    return controllers;
  for (const auto& address : listIn(answer.value(), "controllers")) {
    if (address.is<std::string>() && parseEndpoint(Address{address.get<std::string>()}))
      controllers.push_back(Address{address.get<std::string>()});
  }
  return controllers;
}

}  // namespace aniseline
