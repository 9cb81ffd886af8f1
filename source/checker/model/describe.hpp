// Messages and steps in words, for traces.
#pragma once
#include "checker/model/world.hpp"

namespace aniseline::model {

std::string describe(const PeerMessage& message);
// A node in a line: role, term, log, commit, disk.
std::string describe(const ModelNode& node);

}  // namespace aniseline::model
