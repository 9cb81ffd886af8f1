#include "checker/model/model_node.hpp"

namespace aniseline::model {

namespace {

// The timers' draws decide nothing here: the shortest and the longest election time are the same.
constexpr std::uint64_t timerSeed = 1;

}  // namespace

void DiskImage::add(const WriteAheadRecord& record) {
  term = record.term;
  vote = record.vote;
  if (record.whole) {
    snapshot = record.snapshot;
    entries = record.entries;
  } else if (!record.entries.empty()) {
    entries.resize(record.first.value - snapshot.index.value - 1);
    entries.insert(entries.end(), record.entries.begin(), record.entries.end());
  }
}

bool DiskImage::holds(LogIndex index, Term wanted) const {
  if (index <= snapshot.index)
    return true;
  return index <= last() && entries[index.value - snapshot.index.value - 1].term == wanted;
}

ModelNode::ModelNode(Member self, const RaftOptions& options, std::vector<WriteAheadRecord> records)
    : self(self), raft(start(self, options, records, MonotonicTime{})), disk(std::move(records)) {
  foldDisk();
}

RaftNode ModelNode::start(const Member& self, const RaftOptions& options,
                          const std::vector<WriteAheadRecord>& disk, MonotonicTime now) {
  return RaftNode(self, options, timerSeed, disk, now);
}

bool ModelNode::startWrite() {
  if (inFlight)
    return false;
  inFlight = raft.takeWrite();
  return inFlight.has_value();
}

void ModelNode::keep(const WriteAheadRecord& record) {
  if (record.whole)
    disk.clear();  // older versions are removed once a whole one is synced
  disk.push_back(record);
  image.add(record);
}

void ModelNode::completeWrite() {
  keep(*inFlight);
  pretendWrite();
}

void ModelNode::pretendWrite() {
  const auto version = inFlight->version;
  inFlight.reset();
  raft.synced(version, clock);
}

void ModelNode::restart(const RaftOptions& options, bool keepsWrite, bool forgetsLastRecord) {
  if (inFlight && keepsWrite)
    keep(*inFlight);
  inFlight.reset();
  if (forgetsLastRecord && disk.size() > 1)
    disk.pop_back();
  foldDisk();
  raft = start(self, options, disk, clock);
  openedTerm = Term{};
  ++restarts;
}

std::string ModelNode::payload(const std::string& what) const {
  std::string text =
      what + " " + std::to_string(raft.term().value) + "." + std::to_string(raft.last().value + 1);
  return restarts == 0 ? text : text + ", restart " + std::to_string(restarts);
}

void ModelNode::foldDisk() {
  image = DiskImage{};
  for (const auto& record : disk)
    image.add(record);
}

void ModelNode::openLeadership() {
  if (!raft.leads() || openedTerm == raft.term())
    return;
  openedTerm = raft.term();
  raft.propose(payload("open"), clock);
  tick();
}

std::uint64_t ModelNode::hash() const {
  OutputArchive archive;
  archive << image << openedTerm << restarts << inFlight.has_value();
  if (inFlight) {
    auto record = *inFlight;
    record.version = DiskVersion{};  // how many there were before changes nothing
    archive << record;
  }
  return combine(hashOf(RaftNodeFingerprint::of(raft, clock)), hashOf(archive.bytes));
}

}  // namespace aniseline::model
