// Example client: submits a job and follows it to its end, then submits a second job and cancels
// it.
// Usage: example_client CONTACT [CONTACT...]
#include <aniseline/library.hpp>
#include <iostream>

using namespace aniseline::library;
using namespace std::chrono_literals;

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: example_client CONTACT [CONTACT...]\n";
    return 2;
  }
  Origin origin(std::vector<std::string>(argv + 1, argv + argc), "zone1");
  const std::string timestamp =
      std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  Job job{
      "example-" + timestamp, "proofs", {{"proof", {}, false, {{1, 256, 500ms, "run=100", 2}}}}};
  auto submitted = origin.submit(job, 10s);
  if (!submitted) {
    std::cerr << submitted.error().text << "\n";
    return 1;
  }
  auto finalView = origin.follow(*submitted, 20s);
  std::cout << *submitted << " " << (finalView ? finalView->state : finalView.error().text)
            << std::endl;
  if (!finalView || finalView->state != "finished")
    return 1;

  job.id += "-long";
  job.steps[0].tasks[0].payload = "run=60000";
  if (!origin.submit(job, 10s) || !origin.cancel(job.id, 10s))
    return 1;
  auto cancelled = origin.follow(job.id, 20s);
  std::cout << job.id << " " << (cancelled ? cancelled->state : cancelled.error().text)
            << std::endl;
  // An invalid submission is rejected locally with a descriptive error, and no request is sent.
  job.steps.clear();
  auto invalidSubmission = origin.submit(job, 1s);
  std::cout << "submission without steps: " << invalidSubmission.error().text << std::endl;
  return cancelled && cancelled->state == "cancelled" && !invalidSubmission ? 0 : 1;
}
