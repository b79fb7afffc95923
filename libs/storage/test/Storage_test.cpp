// Guards against the loss of acknowledged data in a crash, against damage that
// is mistaken for a torn tail, and against writes after a failed write or sync.
#include "FakeFileSystem.h"
#include "wigeonfold/storage/Storage.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::storage {
namespace {

constexpr const char* kFolder = "data";

Result<std::unique_ptr<Storage>> OpenOn(FileSystem& aFiles,
                                        const std::string& aFolder = kFolder)
{
  StorageSettings settings;
  settings.m_folder = aFolder;
  settings.m_segmentBytes = 400;
  return Storage::Open(aFiles, settings, 42, [](EventId, auto) {});
}

// The expected content of the storage.
struct Model
{
  HardState m_hardState;
  std::vector<LogRecord> m_records; // all from index 1 on
  int64_t m_snapshot = 0;

  int64_t Last() const { return static_cast<int64_t>(m_records.size()); }

  void Apply(const Batch& aBatch)
  {
    m_hardState = aBatch.m_hardState.value_or(m_hardState);
    if (aBatch.m_truncateFrom != 0) {
      m_records.resize(static_cast<size_t>(aBatch.m_truncateFrom - 1));
    }
    m_records.insert(
      m_records.end(), aBatch.m_append.begin(), aBatch.m_append.end());
  }

  bool Equals(const Recovered& aFound) const
  {
    if (aFound.m_hardState != m_hardState ||
        aFound.m_baseIndex + static_cast<int64_t>(aFound.m_records.size()) !=
          Last() ||
        (aFound.m_snapshot ? aFound.m_snapshot->m_index : 0) != m_snapshot) {
      return false;
    }
    return std::equal(aFound.m_records.begin(),
                      aFound.m_records.end(),
                      m_records.begin() + aFound.m_baseIndex);
  }
};

Batch MakeBatch(const Model& aModel, int64_t aTruncateFrom, int aCount)
{
  Batch batch;
  const int64_t term = aModel.m_hardState.m_term + 1;
  batch.m_hardState = HardState{ term, term % 3, aModel.m_snapshot };
  batch.m_truncateFrom = aTruncateFrom;
  const int64_t base = aTruncateFrom ? aTruncateFrom - 1 : aModel.Last();
  for (int64_t i = 1; i <= aCount; ++i) {
    batch.m_append.push_back(
      { base + i, term, std::string(static_cast<size_t>(20 + i), 'x') });
  }
  return batch;
}

Snapshot MakeSnapshot(const Model& aModel, int64_t aIndex)
{
  const LogRecord& last = aModel.m_records[static_cast<size_t>(aIndex - 1)];
  return { aIndex, last.m_term, "state-" + std::to_string(aIndex) };
}

// Runs the operation that the random number aDraw selects. Sets aIntended to
// the content that it leads to, and aModel as well when it succeeds.
Status RunRandomOperation(Storage& aStorage,
                          Model& aModel,
                          Model& aIntended,
                          int aDraw)
{
  aIntended = aModel;
  Status done = Ok();
  if (aDraw % 5 == 0 && aModel.Last() > aModel.m_snapshot) {
    aIntended.m_snapshot = aModel.Last();
    done = aStorage.SaveSnapshot(MakeSnapshot(aModel, aModel.Last()));
  } else if (aDraw % 5 == 1) {
    done = aStorage.Compact(aModel.m_snapshot);
    if (!done && aModel.m_snapshot == 0) {
      done = Ok(); // rejected as expected: there is no snapshot
    }
  } else {
    const bool truncate = aDraw % 5 == 2 && aModel.Last() > aModel.m_snapshot;
    const Batch batch =
      MakeBatch(aModel, truncate ? aModel.m_snapshot + 1 : 0, aDraw % 4);
    aIntended.Apply(batch);
    done = aStorage.Persist(batch);
  }
  if (done) {
    aModel = aIntended;
  }
  return done;
}

// After a crash at any call that loses any part of the unsynced data, all
// acknowledged operations are kept, and the last one as a whole or not at all.
RC_GTEST_PROP(StorageTest, AcknowledgedDataSurvivesAnyCrash, ())
{
  const auto draws =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  const int failAfter = *rc::gen::inRange(1, 400);
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  FakeFileSystem files;
  Model model;
  Model intended;
  {
    auto storage = OpenOn(files);
    RC_ASSERT(storage.has_value());
    files.FailAfter(failAfter);
    for (const int draw : draws) {
      const Status done =
        RunRandomOperation(*storage.value(), model, intended, draw);
      if (!done) {
        RC_ASSERT(done.error().m_code == ErrorCode::Io);
        files.StopFailing();
        const Status again = storage.value()->Persist({});
        RC_ASSERT(!again && again.error().m_code == ErrorCode::Io);
        break;
      }
    }
  }
  files.Crash(seed);
  auto reopened = OpenOn(files);
  if (!reopened) {
    RC_FAIL(reopened.error().ToString());
  }
  const Recovered found = reopened.value()->TakeRecovered();
  RC_ASSERT(model.Equals(found) || intended.Equals(found));
  // The recovered log accepts further batches.
  Model continued = model.Equals(found) ? model : intended;
  const Batch batch = MakeBatch(continued, 0, 2);
  RC_ASSERT(reopened.value()->Persist(batch).has_value());
  continued.Apply(batch);
  reopened.value().reset();
  RC_ASSERT(continued.Equals(OpenOn(files).value()->TakeRecovered()));
}

// A crash at any call while the folder is created must not leave a folder that
// can't be opened.
TEST(StorageTest, InterruptedFolderCreationIsRepeated)
{
  for (int calls = 1; calls < 12; ++calls) {
    for (uint64_t seed = 0; seed < 8; ++seed) {
      FakeFileSystem files;
      files.FailAfter(calls);
      (void)OpenOn(files);
      files.Crash(seed);
      EXPECT_TRUE(OpenOn(files)) << "call " << calls;
    }
  }
}

// Three batches in one segment.
std::unique_ptr<FakeFileSystem> MakeThreeBatchLog(Model& aModel)
{
  auto files = std::make_unique<FakeFileSystem>();
  auto storage = OpenOn(*files);
  for (int i = 0; i < 3; ++i) {
    const Batch batch = MakeBatch(aModel, 0, 1);
    EXPECT_TRUE(storage.value()->Persist(batch));
    aModel.Apply(batch);
  }
  return files;
}

const std::string kSegment = std::string(kFolder) + "/log-0000000000000001.wal";

TEST(StorageTest, TornTailIsRemovedAtEveryLength)
{
  Model model;
  const auto files = MakeThreeBatchLog(model);
  const size_t size = files->Files().at(kSegment)->m_bytes.size();
  const size_t batch = (size - 80) / 3;
  for (size_t cut = size - batch; cut < size; ++cut) {
    const auto torn = files->Copy();
    torn->Files().at(kSegment)->m_bytes.resize(cut);
    auto storage = OpenOn(*torn);
    ASSERT_TRUE(storage) << cut;
    const Recovered found = storage.value()->TakeRecovered();
    EXPECT_EQ(found.m_records.size(), 2U) << cut;
    EXPECT_EQ(found.m_tornBytes, cut - (size - batch));
    EXPECT_TRUE(storage.value()->Persist(Batch{}));
  }
}

TEST(StorageTest, EveryFlippedByteBeforeTheTailIsReportedAsCorrupt)
{
  Model model;
  const auto files = MakeThreeBatchLog(model);
  const size_t size = files->Files().at(kSegment)->m_bytes.size();
  const size_t tail = size - (size - 80) / 3;
  for (size_t position = 0; position < tail; ++position) {
    const auto damaged = files->Copy();
    damaged->Files().at(kSegment)->m_bytes[position] ^= 0x10;
    const auto storage = OpenOn(*damaged);
    ASSERT_FALSE(storage) << position;
    EXPECT_EQ(storage.error().m_code, ErrorCode::Corrupt) << position;
  }
}

// Several segments and a snapshot, with the segments before it removed.
std::unique_ptr<FakeFileSystem> MakeCompactedLog()
{
  auto files = std::make_unique<FakeFileSystem>();
  auto storage = OpenOn(*files);
  Model model;
  for (int i = 0; i < 40; ++i) {
    const Batch batch = MakeBatch(model, 0, 1);
    EXPECT_TRUE(storage.value()->Persist(batch));
    model.Apply(batch);
  }
  EXPECT_TRUE(storage.value()->SaveSnapshot(MakeSnapshot(model, 30)));
  EXPECT_TRUE(storage.value()->Compact(30));
  return files;
}

// Any file but the lock that is missing or damaged must be detected.
TEST(StorageTest, MissingOrDamagedFilesAreReportedAsCorrupt)
{
  const auto files = MakeCompactedLog();
  std::vector<std::string> needed;
  for (const auto& [name, content] : files->Files()) {
    if (name.find("lock") == std::string::npos) {
      needed.push_back(name);
    }
  }
  ASSERT_GT(needed.size(), 4U);
  for (const std::string& name : needed) {
    const auto missing = files->Copy();
    missing->Files().erase(name);
    const auto absent = OpenOn(*missing);
    const bool snapshot = name.find("snapshot") != std::string::npos;
    ASSERT_FALSE(absent) << name;
    EXPECT_EQ(absent.error().m_code, ErrorCode::Corrupt) << name;
    const auto damaged = files->Copy();
    damaged->Files().at(name)->m_bytes[snapshot ? 30 : 10] ^= 1;
    const auto flipped = OpenOn(*damaged);
    ASSERT_FALSE(flipped) << name;
    EXPECT_EQ(flipped.error().m_code, ErrorCode::Corrupt) << name;
  }
}

TEST(StorageTest, DamagedSnapshotIsSkippedWhileTheLogHoldsItsRecords)
{
  Model model;
  const auto files = MakeThreeBatchLog(model);
  {
    auto storage = OpenOn(*files);
    ASSERT_TRUE(storage.value()->SaveSnapshot(MakeSnapshot(model, 2)));
  }
  std::prev(files->Files().end())->second->m_bytes[30] ^= 1;
  auto storage = OpenOn(*files);
  ASSERT_TRUE(storage);
  EXPECT_TRUE(model.Equals(storage.value()->TakeRecovered()));
}

// A snapshot from the leader replaces a log that lacks the snapshot's last
// record. The process may end at any call while the snapshot is saved, such as
// right after its rename.
TEST(StorageTest, InstalledSnapshotReplacesTheLog)
{
  for (int calls = 1; calls <= 8; ++calls) {
    Model model;
    const auto files = MakeThreeBatchLog(model);
    {
      auto storage = OpenOn(*files);
      files->FailAfter(calls);
      (void)storage.value()->SaveSnapshot({ 100, 9, "installed" });
    }
    files->StopFailing();
    auto storage = OpenOn(*files);
    ASSERT_TRUE(storage);
    const Recovered found = storage.value()->TakeRecovered();
    if (found.m_snapshot) {
      EXPECT_EQ(found.m_baseIndex, 100);
      EXPECT_EQ(found.m_baseTerm, 9);
      EXPECT_TRUE(found.m_records.empty());
    } else {
      EXPECT_TRUE(model.Equals(found)) << calls;
    }
  }
}

TEST(StorageTest, FolderOnDiskKeepsIdentityAndIsLocked)
{
  const std::string folder = testing::TempDir() + "wigeonfold-storage-test";
  std::filesystem::remove_all(folder);
  const auto files = MakePosixFileSystem();
  Model model;
  Identity identity;
  {
    auto storage = OpenOn(*files, folder + "/nested");
    ASSERT_TRUE(storage) << storage.error().ToString();
    ASSERT_TRUE(storage.value()->SetClusterId(7));
    EXPECT_FALSE(storage.value()->SetClusterId(8));
    identity = storage.value()->GetIdentity();
    EXPECT_GT(identity.m_memberId, 0);
    const Batch batch = MakeBatch(model, 0, 30);
    ASSERT_TRUE(storage.value()->Persist(batch));
    model.Apply(batch);
    const auto second = OpenOn(*files, folder + "/nested");
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().m_code, ErrorCode::Conflict);
  }
  auto storage = OpenOn(*files, folder + "/nested");
  ASSERT_TRUE(storage) << storage.error().ToString();
  EXPECT_TRUE(model.Equals(storage.value()->TakeRecovered()));
  EXPECT_EQ(storage.value()->GetIdentity().m_memberId, identity.m_memberId);
  EXPECT_EQ(storage.value()->GetIdentity().m_clusterId, 7);
  std::filesystem::remove_all(folder);
}

// A full disk must not end the process: the write is retried until there is
// space, or until the callback refuses because the process stops.
TEST(PosixFiles, WriteWithoutSpaceIsRetriedUntilTheCallbackRefuses)
{
  int calls = 0;
  const auto files = MakePosixFileSystem([&calls](const Error& aError) {
    EXPECT_EQ(aError.m_step, "write file");
    return ++calls < 3;
  });
  const auto file = files->Open("/dev/full");
  ASSERT_TRUE(file);
  EXPECT_FALSE(file.value()->Append("bytes"));
  EXPECT_EQ(calls, 3);
}

} // namespace
} // namespace wigeonfold::storage
