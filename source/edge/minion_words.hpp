// The product's own words for minions that are called: a penstock's side, and a minion's. docs/api.md 5.
#pragma once
#include "daemons/penstock_daemon.hpp"

namespace aniseline {

// A penstock's side.
MinionWords minionWords();

// A minion's side.
Result<MinionCall> readMinionCall(const HttpRequest& request);
Answer writeMinionReply(const MinionCall& call, const MinionReply& reply);
HttpRequest writeAccount(const MinionAccount& account);
HttpRequest writeLeave(const MinionId& life);

}  // namespace aniseline
