// The configurations that simulated clusters run with.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
#include "base/types.hpp"

namespace aniseline {

// `additionalQueues` is JSON text that goes into the object of queues, such as `,"extra":{}`.
std::string standardConfig(const std::string& additionalQueues = "");
// The same, with queues, pools and policies for workers that are called, too.
std::string calledConfig(const std::string& additionalQueues = "");

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_CONFIGS_HPP
