// Measures what a gateway does with the requests that it forwards.
#include "benchmarks/benchmarks.hpp"
#include "net/wire.hpp"
#include <numeric>

namespace aniseline::benchmarks {

// Measures the work of a gateway on a request without HTTP: parsing the client's JSON, serializing
// the request and deserializing the response.
Metrics measureGateway(const Sizes&, std::uint64_t seed) {
  Metrics values;
  Random random(seed);
  constexpr int rounds = 300;
  std::vector<std::string> bodies, packed;
  for (int round = 0; round < rounds; ++round)
    bodies.push_back(
        renderJobSubmission(randomJob(random, "job-" + std::to_string(round), queueName(0))));
  std::vector<ApiRequest> requests;
  values["parse_submission_us"] =
      measureCpuMicros([&] {
        for (const auto& body : bodies)
          requests.push_back(ApiRequest::parse("POST", "/v1/jobs", body).value());
      }) /
      rounds;
  values["pack_submission_us"] = measureCpuMicros([&] {
                                   for (const auto& request : requests)
                                     packed.push_back(encode(WireMessage{1, request}));
                                 }) /
                                 rounds;
  values["submission_bytes"] =
      std::accumulate(packed.begin(), packed.end(), 0.0,
                      [](double sum, const auto& bytes) { return sum + double(bytes.size()); }) /
      rounds;
  ApiRequest poll;
  poll.kind = RequestKind::showPhase;
  poll.host = "jobs.example";
  poll.path = "/team-0/job-0123456789-1";
  std::string bytes;
  values["pack_look_us"] = measureCpuMicros([&] {
                             for (int round = 0; round < rounds; ++round)
                               bytes = encode(WireMessage{1, poll});
                           }) /
                           rounds;
  values["look_bytes"] = double(bytes.size());
  const std::string response = encode(WireMessage{
      1, ApiResponse::of(202, {{"id", json("job-0123456789-1")}, {"accepted", json(true)}})});
  values["unpack_answer_us"] = measureCpuMicros([&] {
                                 for (int round = 0; round < rounds; ++round)
                                   unpack<WireMessage>(response.substr(16)).value();
                               }) /
                               rounds;
  values["answer_bytes"] = double(response.size());
  return values;
}

}  // namespace aniseline::benchmarks
