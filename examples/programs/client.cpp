// Submits a job, follows it to its end, submits another and cancels it. usage: example_origin
// CONTACT [CONTACT...]
#include <aniseline/library.hpp>
#include <iostream>

using namespace aniseline::library;
using namespace std::chrono_literals;

int main(int count, char** values) {
  if (count < 2) {
    std::cerr << "usage: example_origin CONTACT [CONTACT...]\n";
    return 2;
  }
  Origin origin(std::vector<std::string>(values + 1, values + count), "zone1");
  const std::string stamp =
      std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  Job job{"example-" + stamp, "proofs", {{"proof", {}, false, {{1, 256, 500ms, "run=100", 2}}}}};
  auto submitted = origin.submit(job, 10s);
  if (!submitted) {
    std::cerr << submitted.error().text << "\n";
    return 1;
  }
  auto seen = origin.follow(*submitted, 20s);
  std::cout << *submitted << " " << (seen ? seen->state : seen.error().text) << std::endl;
  if (!seen || seen->state != "finished")
    return 1;

  job.id += "-long";
  job.steps[0].tasks[0].payload = "run=60000";
  if (!origin.submit(job, 10s) || !origin.cancel(job.id, 10s))
    return 1;
  auto cancelled = origin.follow(job.id, 20s);
  std::cout << job.id << " " << (cancelled ? cancelled->state : cancelled.error().text)
            << std::endl;
  // What is wrong is told plainly, and nothing is sent.
  job.steps.clear();
  auto wrong = origin.submit(job, 1s);
  std::cout << "without steps: " << wrong.error().text << std::endl;
  return cancelled && cancelled->state == "cancelled" && !wrong ? 0 : 1;
}
