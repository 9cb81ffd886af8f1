// Writes seed inputs of the binary formats in the encoding of this version. Usage: seeds FOLDER.
#include "net/data_folder.hpp"
#include "net/wire.hpp"
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace aniseline;

namespace {

void write(const std::string& folder, const std::string& name, const std::string& bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + name, std::ios::binary) << bytes;
}

std::vector<WireBody> wireBodies() {
  ApiRequest submit;
  submit.kind = RequestKind::submitJob;
  submit.job.id = JobId{"job"};
  submit.job.steps.push_back(StepRequest{"step", {"other"}, true, {TaskRequest{}}});
  ApiRequest sync;
  sync.kind = RequestKind::syncWorker;
  sync.report.id = WorkerId{"worker"};
  sync.report.results.push_back({AttemptNumber{1}, AttemptOutcome::succeeded});
  RouteReply reply;
  reply.view.controllers = {Address{"127.0.0.1:1"}};
  PeerMessage vote{ControllerId{"a"}, ControllerId{"b"}, Address{"127.0.0.1:1"},
                   RequestVote{Term{1}, true, false, LogIndex{2}, Term{1}}, Address{"127.0.0.1:2"}};
  return {submit, sync, ApiResponse::of(200, {}), RouteQuery{}, reply, BootstrapRequest{}, vote};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "seeds FOLDER\n";
    return 2;
  }
  const std::string folder = argv[1];
  std::size_t fileNumber = 0;
  for (const auto& body : wireBodies())
    write(folder + "/wire", std::to_string(++fileNumber), pack(WireMessage{7, body}));
  for (bool withSnapshot : {false, true}) {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = withSnapshot;
    record.entries = {LogEntry{Term{1}, false, "payload"}};
    write(folder + "/disk", withSnapshot ? "snapshot" : "log", pack(record));
  }
  return 0;
}
