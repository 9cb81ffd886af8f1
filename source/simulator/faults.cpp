#include "simulator/faults.hpp"
#include "simulator/fault_kinds.hpp"

namespace aniseline {

namespace {

constexpr std::size_t mostGone = 4;  // workers; the others must be able to do all that is left
constexpr std::int64_t strikeLastsMs = 6000;  // until what a strike caused is over
constexpr std::int64_t strikeDelays = 4;      // a strike comes 0 to 3 ms after the answer

std::string workerName(std::size_t place) {
  return "m" + std::to_string(place + 1);
}

// The order of kinds is part of what a seed means: a new kind goes to the end of its table.
const FaultTable& everyClusterTable() {
  static const FaultTable kinds =
      joined({controllerFaults(), networkFaults(), machineFaults(), workerFaults(), zoneFaults(),
              gatewayFaults(), callerFaults(), strikes()});
  return kinds;
}
const FaultTable& severalVotersTable() {
  static const FaultTable kinds = joined({everyClusterTable(), severalControllerFaults()});
  return kinds;
}
const FaultTable& calledTable() {
  static const FaultTable kinds = calledWorkerFaults();
  return kinds;
}

}  // namespace

FaultDeck::FaultDeck(World& world, Random& random) : world(world), source(random) {
  world.answering = [this](std::size_t place, const ApiRequest& request,
                           const ApiResponse& answer) {
    for (std::size_t at = 0; at < aims.size(); ++at)
      if (aims[at].matches(request, answer)) {
        auto strike = std::move(aims[at].strike);
        aims.erase(aims.begin() + std::ptrdiff_t(at));
        return strike(place);
      }
  };
  world.onLogEvent = [this](std::size_t place, const LogEvent& note) {
    if (note.what != "members change" || memberAims.empty())
      return;
    auto strike = std::move(memberAims.back());
    memberAims.pop_back();
    strike(place);
  };
}

// The leader is as likely as any.
std::vector<std::size_t> FaultDeck::someControllers(const FaultVictims& victims) const {
  return withOthers(
      victims.leader ? world.leader().value_or(victims.controller) : victims.controller, victims);
}
// Those beside the first are voters while there are any: there lies what can be lost.
std::vector<std::size_t> FaultDeck::withOthers(std::size_t first,
                                               const FaultVictims& victims) const {
  std::vector<std::size_t> chosen{first};
  for (const bool voters : {true, false})
    for (std::size_t count = 0; count < world.controllerCount() && chosen.size() < victims.count;
         ++count) {
      const std::size_t place = (victims.other + count) % world.controllerCount();
      if (!std::count(chosen.begin(), chosen.end(), place) && world.isVoter(place) == voters)
        chosen.push_back(place);
    }
  return chosen;
}

// Two of three copies, or three of five, may never be lost before the first are replaced: that is
// beyond what they can bear. Two that moved know only each other's old address, so without the
// others they count as lost.
bool FaultDeck::loseDisk(std::size_t place, bool moves) {
  const auto lost = world.copiesLost();
  const std::size_t unknown = moving > 1 && world.now < moveFreeAt ? moving : 0;
  if (!lost || *lost + unknown >= world.bearable())
    return false;
  world.loseDisk(place);
  if (moves)
    world.moveController(place);
  return true;
}

bool FaultDeck::killForGood(std::size_t worker) {
  const std::string id = workerName(worker);
  if (gone.size() >= mostGone || gone.count(id))
    return false;
  gone.insert(id);
  return true;
}

void FaultDeck::forgetGone(std::size_t worker) {
  gone.erase(workerName(worker));
}

// Arms a strike at the very next answer of its kind: the acknowledgement leaves, and the machine
// with it.
void FaultDeck::aim(Fault& fault, const FaultVictims& victims, Matches matches, Strike strike) {
  auto took = std::make_shared<bool>(false);
  fault.took = took;
  const std::int64_t delay = std::abs(victims.jump % strikeDelays);
  auto atAnswer = [this, strike = std::move(strike), took, delay](std::size_t place) {
    *took = true;
    world.disturb("aimed strike", false);
    world.after(delay, [strike, place] { strike(place); });
    world.after(strikeLastsMs, [this] { world.disturb("aimed strike", true); });
  };
  fault.begin = [this, matches = std::move(matches), atAnswer = std::move(atAnswer)] {
    aims.push_back({matches, atAnswer});
    return false;
  };
}

std::vector<std::string> FaultDeck::kinds(bool called, bool several) {
  std::vector<std::string> names;
  for (const auto& kind : several ? severalVotersTable() : everyClusterTable())
    names.emplace_back(kind.name);
  if (called)
    for (const auto& kind : calledTable())
      names.emplace_back(kind.name);
  return names;
}

// Where there are workers that are called, half of the faults are theirs.
const std::vector<FaultKind>& FaultDeck::drawTable() {
  if (world.calledCount() > 0 && source.chance(0.5))
    return calledTable();
  return world.bearable() > 1 ? severalVotersTable() : everyClusterTable();
}

FaultVictims FaultDeck::drawVictims(std::int64_t length) {
  FaultVictims victims;
  victims.controller = source.next() % world.controllerCount();
  victims.gateway = source.next() % faultGateways;
  victims.worker = source.next() % faultWorkers;
  victims.from = source.next() % faultZones;
  victims.to = (victims.from + 1 + source.next() % 2) % faultZones;
  victims.leader = source.chance(0.5);
  victims.coin = source.chance(0.5);
  victims.jump = source.between(-600'000, 600'000);
  victims.length = length;
  if (world.calledCount() > 0)
    victims.called = source.next() % world.calledCount();
  if (world.bearable() > 1) {
    victims.count = 1 + source.next() % world.bearable();
    victims.other = source.next() % world.controllerCount();
  }
  return victims;
}

Fault FaultDeck::random(std::int64_t at) {
  const auto& kinds = drawTable();
  const auto& kind = kinds[source.next() % kinds.size()];
  Fault fault;
  fault.at = at;
  fault.length = source.between(300, 9000);
  fault.name = kind.name;
  kind.plan(*this, world, drawVictims(fault.length), fault);
  return fault;
}

}  // namespace aniseline
