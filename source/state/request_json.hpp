// JSON of submissions and of sync reports, both ways. docs/api.md 2, 3.
#ifndef ANISELINE_STATE_REQUEST_JSON_HPP
#define ANISELINE_STATE_REQUEST_JSON_HPP
#include "state/job.hpp"
#include "state/sync_report.hpp"
#include <picojson.h>

namespace aniseline {

/// Reads a submission. Its faults are appended; only a result without any is to
/// be used.
JobSubmission parseJobSubmission(const picojson::value& root, std::vector<ErrorDetail>& errors);
/// Reads the report of the worker with this id, in the same way.
SyncReport parseSyncReport(const picojson::value& root, const std::string& id,
                           std::vector<ErrorDetail>& errors);
std::string renderJobSubmission(const JobSubmission& job);
std::string renderSyncReport(const SyncReport& report);

}  // namespace aniseline

#endif  // ANISELINE_STATE_REQUEST_JSON_HPP
