// File system in memory that injects failures, partial writes and the loss of
// unsynced data.
#pragma once

#include "wigeonfold/storage/FileSystem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wigeonfold::storage {

class FakeFileSystem : public FileSystem
{
public:
  struct Content
  {
    std::string m_bytes;
    size_t m_synced = 0; // bytes that survive a crash
  };
  // Contents by path.
  using Names = std::map<std::string, std::shared_ptr<Content>>;

  // The aCalls-th call from now on that opens, changes or syncs a file or
  // folder fails, and so do all later ones. A failing append writes half of its
  // bytes.
  void FailAfter(int aCalls) { m_callsLeft = aCalls; }
  // Ends the failures that FailAfter has set up.
  void StopFailing() { m_callsLeft = -1; }
  // Number of such calls so far, failed ones included.
  int Calls() const { return m_calls; }

  // Simulates a power loss and ends the injected failure. At random, the
  // changes of names since the last folder sync are lost or kept, and any part
  // of the unsynced bytes at the end of each file is lost.
  void Crash(uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    StopFailing();
    if (random() % 2 == 0) {
      m_names = m_syncedNames;
    }
    for (auto& [name, content] : m_names) {
      const size_t unsynced = content->m_bytes.size() - content->m_synced;
      content->m_bytes.resize(content->m_synced + random() % (unsynced + 1));
      content->m_synced = content->m_bytes.size();
    }
    m_syncedNames = m_names;
  }

  std::unique_ptr<FakeFileSystem> Copy() const
  {
    auto copy = std::make_unique<FakeFileSystem>();
    for (const auto& [name, content] : m_names) {
      copy->m_names[name] = std::make_shared<Content>(*content);
    }
    copy->m_syncedNames = copy->m_names;
    return copy;
  }

  Names& Files() { return m_names; }

  Status MakeFolder(const std::string& /*aPath*/) override { return Ok(); }

  Result<std::vector<std::string>> List(const std::string& aPath) override
  {
    std::vector<std::string> names;
    for (const auto& [name, content] : m_names) {
      names.push_back(name.substr(aPath.size() + 1));
    }
    return names;
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    const auto found = m_names.find(aPath);
    if (found == m_names.end()) {
      return Error{ ErrorCode::NotFound, "open file", aPath, "no such file" };
    }
    return found->second->m_bytes;
  }

  Result<std::unique_ptr<File>> Open(const std::string& aPath) override
  {
    if (!CountCall()) {
      return Failure(aPath);
    }
    auto& content = m_names[aPath];
    if (!content) {
      content = std::make_shared<Content>();
    }
    return std::unique_ptr<File>(std::make_unique<FakeFile>(*this, content));
  }

  Result<std::unique_ptr<File>> Lock(const std::string& aPath) override
  {
    return Open(aPath);
  }

  Status Rename(const std::string& aFrom, const std::string& aTo) override
  {
    if (!CountCall()) {
      return Failure(aFrom);
    }
    m_names[aTo] = m_names.at(aFrom);
    m_names.erase(aFrom);
    return Ok();
  }

  Status Remove(const std::string& aPath) override
  {
    if (!CountCall()) {
      return Failure(aPath);
    }
    m_names.erase(aPath);
    return Ok();
  }

  Status SyncFolder(const std::string& aPath) override
  {
    if (!CountCall()) {
      return Failure(aPath);
    }
    m_syncedNames = m_names;
    return Ok();
  }

private:
  class FakeFile : public File
  {
  public:
    FakeFile(FakeFileSystem& aOwner, std::shared_ptr<Content> aContent)
      : m_owner(aOwner)
      , m_content(std::move(aContent))
    {
    }

    Status Append(std::string_view aBytes) override
    {
      const bool permitted = m_owner.CountCall();
      m_content->m_bytes +=
        aBytes.substr(0, permitted ? aBytes.size() : aBytes.size() / 2);
      return permitted ? Ok() : Failure("append");
    }
    Status Sync() override
    {
      if (!m_owner.CountCall()) {
        return Failure("sync");
      }
      m_content->m_synced = m_content->m_bytes.size();
      return Ok();
    }
    Status Truncate(size_t aSize) override
    {
      if (!m_owner.CountCall()) {
        return Failure("truncate");
      }
      m_content->m_bytes.resize(aSize);
      m_content->m_synced = std::min(m_content->m_synced, aSize);
      return Ok();
    }

  private:
    FakeFileSystem& m_owner;
    const std::shared_ptr<Content> m_content;
  };

  static Error Failure(const std::string& aPath)
  {
    return Error{ ErrorCode::Io, "fake", aPath, "injected failure" };
  }

  // Counts a call; false when it has to fail.
  bool CountCall()
  {
    ++m_calls;
    if (m_callsLeft > 0) {
      --m_callsLeft;
    }
    return m_callsLeft != 0;
  }

  Names m_names;
  Names m_syncedNames;
  int m_callsLeft = -1; // up to the first failing call; -1 for no failure
  int m_calls = 0;
};

} // namespace wigeonfold::storage
