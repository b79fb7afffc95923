#include "wigeonfold/storage/FaultyFileSystem.h"

#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace wigeonfold::storage {

namespace {

// Longer delays are rejected as a mistake in the rule.
constexpr int kMaxDelayMs = 60'000;

// Applies the rule in a file to the calls of all files.
class FaultInjector
{
public:
  FaultInjector(std::string aRulesFile,
                std::function<bool(const Error&)> aOnFault)
    : m_rulesFile(std::move(aRulesFile))
    , m_onFault(std::move(aOnFault))
  {
  }

  // Ok once the call may be carried out; on a stalled or full disk, the
  // injected error when m_onFault gives up.
  Status ApplyRule(const char* aStep, const std::string& aPath) const
  {
    while (true) {
      const DiskRule rule = ReadRule();
      switch (rule.m_state) {
        case DiskState::Healthy:
          return Ok();
        case DiskState::Slow:
          std::this_thread::sleep_for(rule.m_delay);
          return Ok();
        case DiskState::Stalled:
        case DiskState::Full:
          break;
      }
      const char* detail =
        rule.m_state == DiskState::Full ? "no space left" : "disk stalled";
      const Error error{ ErrorCode::Io, aStep, aPath, detail };
      if (!m_onFault(error)) {
        return error;
      }
    }
  }

private:
  DiskRule ReadRule() const
  {
    std::ifstream file(m_rulesFile);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto rule = ParseDiskRule(text);
    return rule ? rule.value() : DiskRule{};
  }

  const std::string m_rulesFile;
  const std::function<bool(const Error&)> m_onFault;
};

class FaultyFile : public File
{
public:
  FaultyFile(std::unique_ptr<File> aFile,
             std::string aPath,
             const FaultInjector& aInjector)
    : m_file(std::move(aFile))
    , m_path(std::move(aPath))
    , m_injector(aInjector)
  {
  }

  Status Append(std::string_view aBytes) override
  {
    if (auto status = m_injector.ApplyRule("write file", m_path); !status) {
      return status;
    }
    return m_file->Append(aBytes);
  }

  Status Sync() override
  {
    if (auto status = m_injector.ApplyRule("sync file", m_path); !status) {
      return status;
    }
    return m_file->Sync();
  }

  Status Truncate(size_t aSize) override { return m_file->Truncate(aSize); }

private:
  const std::unique_ptr<File> m_file;
  const std::string m_path;
  const FaultInjector& m_injector;
};

class FaultyFileSystem : public FileSystem
{
public:
  FaultyFileSystem(FileSystem& aFiles,
                   std::string aRulesFile,
                   std::function<bool(const Error&)> aOnFault)
    : m_files(aFiles)
    , m_injector(std::move(aRulesFile), std::move(aOnFault))
  {
  }

  Status MakeFolder(const std::string& aPath) override
  {
    return m_files.MakeFolder(aPath);
  }

  Result<std::vector<std::string>> List(const std::string& aPath) override
  {
    return m_files.List(aPath);
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    return m_files.Read(aPath);
  }

  Result<std::unique_ptr<File>> Open(const std::string& aPath) override
  {
    if (auto status = m_injector.ApplyRule("open file", aPath); !status) {
      return status.error();
    }
    auto file = m_files.Open(aPath);
    if (!file) {
      return file;
    }
    return std::unique_ptr<File>(
      std::make_unique<FaultyFile>(std::move(file.value()), aPath, m_injector));
  }

  Result<std::unique_ptr<File>> Lock(const std::string& aPath) override
  {
    return m_files.Lock(aPath);
  }

  Status Rename(const std::string& aFrom, const std::string& aTo) override
  {
    if (auto status = m_injector.ApplyRule("rename file", aFrom); !status) {
      return status;
    }
    return m_files.Rename(aFrom, aTo);
  }

  Status Remove(const std::string& aPath) override
  {
    return m_files.Remove(aPath);
  }

  Status SyncFolder(const std::string& aPath) override
  {
    if (auto status = m_injector.ApplyRule("sync folder", aPath); !status) {
      return status;
    }
    return m_files.SyncFolder(aPath);
  }

private:
  FileSystem& m_files;
  const FaultInjector m_injector;
};

} // namespace

Result<DiskRule> ParseDiskRule(const std::string& aText)
{
  std::istringstream words(aText);
  std::string state;
  if (!(words >> state)) {
    return DiskRule{};
  }
  DiskRule rule;
  int delayMs = 0;
  bool known = true;
  if (state == "slow") {
    rule.m_state = DiskState::Slow;
    known = (words >> delayMs) && delayMs > 0 && delayMs <= kMaxDelayMs;
    rule.m_delay = std::chrono::milliseconds(delayMs);
  } else if (state == "stalled") {
    rule.m_state = DiskState::Stalled;
  } else if (state == "full") {
    rule.m_state = DiskState::Full;
  } else {
    known = false;
  }
  if (!known || words >> state) {
    return Error{
      ErrorCode::InvalidArgument,
      "parse disk rule",
      "",
      "'" + aText +
        "' is not 'slow MILLISECONDS' (1 to 60000), 'stalled' or 'full'"
    };
  }
  return rule;
}

std::unique_ptr<FileSystem> MakeFaultyFileSystem(
  FileSystem& aFiles,
  std::string aRulesFile,
  std::function<bool(const Error&)> aOnFault)
{
  return std::make_unique<FaultyFileSystem>(
    aFiles, std::move(aRulesFile), std::move(aOnFault));
}

} // namespace wigeonfold::storage
