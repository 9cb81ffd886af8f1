// The members of the controllers' consensus group. docs/design.md 3.5.
#ifndef ANISELINE_RAFT_MEMBER_HPP
#define ANISELINE_RAFT_MEMBER_HPP
#include "base/types.hpp"

namespace aniseline {

// One controller of the group. Voters count toward majorities. All other members are learners,
// which receive the log and may be promoted to voters.
struct Member {
  ControllerId id;
  Address address;  // address at which the other processes of the cluster reach it
  ZoneName zone;
  bool voter = false;
  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& address& zone& voter;
  }
};

// All members in force at one point of the log. Each id occurs at most once.
using Membership = std::vector<Member>;

// Returns the member with this id, or null. The pointer is valid until `membership` changes.
inline const Member* findMember(const Membership& membership, const ControllerId& id) {
  for (const auto& member : membership) {
    if (member.id == id)
      return &member;
  }
  return nullptr;
}

inline std::size_t countVoters(const Membership& membership) {
  return std::size_t(std::count_if(membership.begin(), membership.end(),
                                   [](const Member& member) { return member.voter; }));
}

// Returns the number of votes that form a majority of this many voters.
inline std::size_t majorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MEMBER_HPP
