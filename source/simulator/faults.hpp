// The kinds of fault that campaigns draw from, each one of the brief's. docs/design.md 12.3.
#pragma once
#include "simulator/world.hpp"

namespace aniseline {

struct Fault {
  std::int64_t at = 0, length = 0;
  std::string name;
  std::function<bool()> begin;  // false: it could not take effect
  std::function<void()> end;
  std::shared_ptr<bool> took;  // of one that strikes later: whether it did
};

struct FaultVictims;
struct FaultKind;

class FaultDeck {
 public:
  using Matches = std::function<bool(const ApiRequest&, const ApiResponse&)>;
  using Strike = std::function<void(std::size_t place)>;  // at the controller that is struck

  FaultDeck(World& world, Random& random);
  // Things only the campaign can do: a flood of jobs, two operators at once.
  std::function<void()> flood, operatorRace;
  Fault random(std::int64_t at);
  // Every kind's name, for the report.
  static std::vector<std::string> kinds(bool called, bool several);
  const std::set<std::string>& goneForGood() const { return gone; }
  bool killForGood(std::size_t worker);
  void disarm() { aims.clear(), memberAims.clear(); }  // strikes that found no answer to follow

  // --- what the kinds ask of the deck: simulator/fault_kinds.hpp ---
  // False: that would be one more than the voters can bear.
  bool loseDisk(std::size_t place, bool moves);
  std::vector<std::size_t> someControllers(const FaultVictims& victims) const;
  std::vector<std::size_t> withOthers(std::size_t first, const FaultVictims& victims) const;
  // Makes of a fault a strike at the next answer that matches, and at nothing when none comes.
  void aim(Fault& fault, const FaultVictims& victims, Matches matches, Strike strike);
  void aimAtMemberChange(Strike strike) { memberAims.push_back(std::move(strike)); }
  void forgetGone(std::size_t worker);
  std::int64_t clockFreeAt = 0, moveFreeAt = 0;  // when the next clock may lie, or the next move
  std::size_t moving = 0;                        // controllers, until moveFreeAt

 private:
  const std::vector<FaultKind>& drawTable();
  FaultVictims drawVictims(std::int64_t length);
  World& world;
  Random& source;
  std::set<std::string> gone;
  // A strike waits for the next answer of its kind.
  struct Aim {
    Matches matches;
    Strike strike;
  };
  std::vector<Aim> aims;
  std::vector<Strike> memberAims;
};

}  // namespace aniseline
