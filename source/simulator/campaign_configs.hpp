// The cluster configurations that simulated clusters use.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
#include "base/types.hpp"

namespace aniseline {

// Returns the configuration of campaigns without called workers. `additionalQueues` is JSON text
// that is appended to the members of the `queues` object, such as `,"extra":{}`.
std::string standardConfig(const std::string& additionalQueues = "");
// Returns the same configuration with additional queues, pools and planner settings for called
// workers.
std::string calledConfig(const std::string& additionalQueues = "");

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
