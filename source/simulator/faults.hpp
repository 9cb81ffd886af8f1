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

class FaultDeck {
 public:
  FaultDeck(World& world, Random& random);
  // Things only the campaign can do: a flood of jobs, two operators at once.
  std::function<void()> flood, operatorRace;
  Fault random(std::int64_t at);
  static std::vector<std::string> kinds(bool called,
                                        bool several);  // every kind's name, for the report
  const std::set<std::string>& goneForGood() const { return gone; }
  bool killForGood(std::size_t worker);
  void disarm() { aims.clear(), memberAims.clear(); }  // strikes that found no answer to follow

 private:
  struct Kind;
  struct Victims;
  static const std::vector<Kind>& table();
  static const std::vector<Kind>& calledTable();  // kinds that need workers that are called
  static const std::vector<Kind>&
  severalTable();  // all of the first table, and kinds that need more voters than three
  bool loseDisk(std::size_t place, bool moves);
  std::vector<std::size_t> someControllers(const Victims& victims) const;
  std::vector<std::size_t> withOthers(std::size_t first, const Victims& victims) const;
  Fault aimed(const Victims& victims,
              std::function<bool(const ApiRequest&, const ApiResponse&)> matches,
              std::function<void(std::size_t)> strike);
  World& world;
  Random& source;
  std::set<std::string> gone;
  std::int64_t clockFreeAt = 0, moveFreeAt = 0;
  std::size_t moving = 0;  // until then
  // A strike waits for the next answer of its kind.
  struct Aim {
    std::function<bool(const ApiRequest&, const ApiResponse&)> matches;
    std::function<void(std::size_t)> strike;
  };
  std::vector<Aim> aims;
  std::vector<std::function<void(std::size_t)>> memberAims;
};

}  // namespace aniseline
