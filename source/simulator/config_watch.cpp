// The query loops of the configuration watch.
#include "simulator/config_watch.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

void ConfigWatch::start() {
  askGateway();
  observeProcesses();
}

void ConfigWatch::askGateway() {
  const std::size_t gateway = random.next() % simulatedGateways;
  const std::int64_t askedAt = cluster.now;
  cluster.sendRequest(
      gateway, "GET", "/v1/config", "",
      [this, askedAt](int status, const std::string& body) { onAnswer(askedAt, status, body); });
}

void ConfigWatch::onAnswer(std::int64_t askedAt, int status, const std::string& body) {
  // Only one request is in flight at a time, since overlapping requests may legitimately be
  // answered in either order.
  cluster.scheduleAfter(random.between(300, 900), [this] { askGateway(); });
  picojson::value root;
  if (status != 200 || !picojson::parse(root, body).empty())
    return;
  // The answer says nothing about the time before the request.
  HistoryEvent observed;
  observed.kind = HistoryEvent::Kind::configObserved;
  observed.timestamp = SimulatedCluster::epochMs + askedAt;
  observed.detail = "the leader";
  observed.version = std::uint64_t(root.get("version").get<double>());
  cluster.recordEvent(observed);
  HistoryEvent returned;
  returned.kind = HistoryEvent::Kind::configReturned;
  returned.invokedAt = observed.timestamp;
  returned.version = observed.version;
  if (root.contains("config"))
    returned.digest = configDigest(root.get("config").serialize());
  cluster.recordEvent(returned);
  ++answerCount;
}

void ConfigWatch::observeProcesses() {
  cluster.observeConfigs();
  if (!stopped)
    cluster.scheduleAfter(random.between(300, 700), [this] { observeProcesses(); });
}

}  // namespace aniseline
