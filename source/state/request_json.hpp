// JSON encoding and decoding of job submissions and sync reports. docs/api.md 2, 3.
#ifndef ANISELINE_STATE_REQUEST_JSON_HPP
#define ANISELINE_STATE_REQUEST_JSON_HPP
#include "state/job.hpp"
#include "state/sync_report.hpp"
#include <picojson.h>

namespace aniseline {

/// Parses a submission and appends its errors. The result may be used only if there are none.
JobSubmission parseJobSubmission(const picojson::value& root, std::vector<ErrorDetail>& errors);
/// Parses the sync report of the worker with this id and appends its errors. The result may be used
/// only if there are none.
SyncReport parseSyncReport(const picojson::value& root, const std::string& id,
                           std::vector<ErrorDetail>& errors);
std::string renderJobSubmission(const JobSubmission& job);
std::string renderSyncReport(const SyncReport& report);

}  // namespace aniseline

#endif  // ANISELINE_STATE_REQUEST_JSON_HPP
