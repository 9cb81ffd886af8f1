// Tests of the validation of job submissions.
#include "state/job.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(JobTests){};

TEST(JobTests, validationRejectsCyclesUnknownStepsAndZeroCores) {
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  TaskRequest zero;
  zero.cores = 0;
  job.steps = {{"one", {"two"}, false, {TaskRequest{}}},
               {"two", {"one"}, false, {zero}},
               {"three", {"nine"}, false, {TaskRequest{}}}};
  std::string errors = CoreError{CoreError::Kind::invalid, job.validate()}.text();
  CHECK(errors.find("cycle") != std::string::npos);
  CHECK(errors.find("unknown step nine") != std::string::npos);
  CHECK(errors.find("/steps/1/tasks/0/cores") != std::string::npos);
}
