// Responses to API requests, and the errors of the public interface. docs/api.md.
#ifndef ANISELINE_STATE_API_RESPONSE_HPP
#define ANISELINE_STATE_API_RESPONSE_HPP
#include "base/types.hpp"
#include <picojson.h>

namespace aniseline {

struct ApiResponse {
  int status = 200;  // HTTP status code
  std::string body;  // JSON
  Duration retryAfter{0};
  std::string errorKind;  // the error kind in the body; empty: no error
  std::string phase;      // phase of a job, for callers that do not parse JSON
  std::uint64_t pendingJobCount = 0;
  bool notLeader = false;  // nothing was applied; retry at the leader named here
  Address leader;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& status& body& retryAfter& errorKind& phase& pendingJobCount& notLeader& leader;
  }
  static ApiResponse of(int status, const picojson::object& body);
  static ApiResponse error(int status, const std::string& errorKind, const std::string& text,
                           Duration retryAfter = Duration{0});
  static ApiResponse fromError(const CoreError& error);
  /// Returns the error for a request that may or may not have been applied.
  static ApiResponse outcomeUnknown(const std::string& text);
  /// Returns the error for a request that was not applied and can be sent again.
  static ApiResponse notApplied(const std::string& text);
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_API_RESPONSE_HPP
