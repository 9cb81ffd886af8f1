// Renders the JSON answers of gateways as text for people. docs/operations.md 3.
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
std::string queuesView(const picojson::value& queues);  // as returned by queuesWithOpenJobs
std::string configView(const picojson::value& answer);

// Returns the queues of a configuration with the number of open jobs of each, from the answers of
// /v1/config and /v1/jobs?state=open.
picojson::value queuesWithOpenJobs(const picojson::value& config, const picojson::value& openJobs);

}  // namespace aniseline

#endif  // ANISELINE_CLI_VIEWS_HPP
