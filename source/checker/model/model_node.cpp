// Simulates the disk of a node and its restarts.
#include "checker/model/model_node.hpp"

namespace aniseline::model {

namespace {

// The seed is irrelevant: the shortest and the longest election timeout are equal.
constexpr std::uint64_t timerSeed = 1;

}  // namespace

void DiskImage::append(const WriteAheadRecord& record) {
  term = record.term;
  vote = record.votedFor;
  if (record.holdsSnapshot) {
    snapshot = record.snapshot;
    entries = record.entries;
  } else if (!record.entries.empty()) {
    entries.resize(record.firstIndex.value - snapshot.lastIncludedIndex.value - 1);
    entries.insert(entries.end(), record.entries.begin(), record.entries.end());
  }
}

bool DiskImage::contains(LogIndex index, Term wanted) const {
  if (index <= snapshot.lastIncludedIndex)
    return true;
  return index <= lastIndex() &&
         entries[index.value - snapshot.lastIncludedIndex.value - 1].term == wanted;
}

ModelNode::ModelNode(const Member& self, const RaftOptions& options,
                     std::vector<WriteAheadRecord> records)
    : self(self),
      raft(startRaft(self, options, records, MonotonicTime{})),
      disk(std::move(records)) {
  rebuildDiskImage();
}

RaftNode ModelNode::startRaft(const Member& self, const RaftOptions& options,
                              const std::vector<WriteAheadRecord>& disk, MonotonicTime now) {
  return RaftNode(self, options, timerSeed, disk, now);
}

bool ModelNode::startWrite() {
  if (inFlight)
    return false;
  inFlight = raft.takeWrite();
  return inFlight.has_value();
}

void ModelNode::appendToDisk(const WriteAheadRecord& record) {
  if (record.holdsSnapshot)
    disk.clear();  // older records are removed once a record with a snapshot is synced
  disk.push_back(record);
  diskImage.append(record);
}

void ModelNode::completeWrite() {
  appendToDisk(*inFlight);
  acknowledgeWithoutWriting();
}

void ModelNode::acknowledgeWithoutWriting() {
  const auto version = inFlight->version;
  inFlight.reset();
  raft.onWriteSynced(version, clock);
}

void ModelNode::restart(const RaftOptions& options, bool keepsWrite, bool forgetsLastRecord) {
  if (inFlight && keepsWrite)
    appendToDisk(*inFlight);
  inFlight.reset();
  if (forgetsLastRecord && disk.size() > 1)
    disk.pop_back();
  rebuildDiskImage();
  raft = startRaft(self, options, disk, clock);
  openedTerm = Term{};
  ++restarts;
}

std::string ModelNode::uniquePayload(const std::string& what) const {
  std::string text = what + " " + std::to_string(raft.term().value) + "." +
                     std::to_string(raft.lastIndex().value + 1);
  return restarts == 0 ? text : text + ", restart " + std::to_string(restarts);
}

void ModelNode::rebuildDiskImage() {
  diskImage = DiskImage{};
  for (const auto& record : disk)
    diskImage.append(record);
}

void ModelNode::proposeOpeningEntry() {
  if (!raft.isLeader() || openedTerm == raft.term())
    return;
  openedTerm = raft.term();
  raft.propose(uniquePayload("open"), clock);
  tick();
}

std::uint64_t ModelNode::hash() const {
  OutputArchive archive;
  archive << diskImage << openedTerm << restarts << inFlight.has_value();
  if (inFlight) {
    auto record = *inFlight;
    record.version = DiskVersion{};  // the number of earlier writes does not affect behaviour
    archive << record;
  }
  return combineHashes(hashOf(RaftNodeFingerprint::of(raft, clock)), hashOf(archive.bytes));
}

}  // namespace aniseline::model
