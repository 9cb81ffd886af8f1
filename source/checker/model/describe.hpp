// Messages and steps in words, for traces.
#ifndef ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
#define ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

std::string describe(const PeerMessage& message);
// A node in a line: role, term, log, commit, disk.
std::string describe(const ModelNode& node);

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
