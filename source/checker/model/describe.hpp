// Describes messages, actions and nodes as text, for the traces of counterexamples.
#ifndef ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
#define ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

std::string describe(const PeerMessage& message);
// Describes a node in one line: role, term, commit index, log and disk.
std::string describe(const ModelNode& node);

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_DESCRIBE_HPP
