// What the answers look like to people; each takes an answer's JSON. docs/operations.md 3.
#ifndef ANISELINE_CLI_VIEWS_HPP
#define ANISELINE_CLI_VIEWS_HPP
#include "cli/table.hpp"

namespace aniseline {

std::string clusterView(const picojson::value& answer);
std::string countersView(const picojson::value& answer);
std::string workersView(const picojson::value& answer);
std::string tenantsView(const picojson::value& answer);
std::string jobsView(const picojson::value& answer);
std::string jobView(const picojson::value& answer);
std::string planView(const picojson::value& answer);
std::string queuesView(const picojson::value& queues);  // of queuesOf
std::string configView(const picojson::value& answer);

// The queues of a config with the open jobs of each, from the answers of /v1/config and
// /v1/jobs?state=open.
picojson::value queuesWithOpenJobs(const picojson::value& config, const picojson::value& openJobs);

}  // namespace aniseline

#endif  // ANISELINE_CLI_VIEWS_HPP
