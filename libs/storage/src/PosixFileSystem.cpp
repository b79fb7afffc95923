// Implements the file system calls with POSIX.
#include "wigeonfold/storage/FileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace wigeonfold::storage {
namespace {

constexpr int kFileMode = 0640;
constexpr size_t kReadBytes = size_t{ 64 } << 10;

Error IoError(const char* aStep, const std::string& aPath, int aErrno)
{
  const ErrorCode code = aErrno == ENOENT ? ErrorCode::NotFound : ErrorCode::Io;
  return Error{ code, aStep, aPath, std::strerror(aErrno) };
}

// Closes the descriptor on destruction.
class Descriptor
{
public:
  explicit Descriptor(int aFd)
    : m_fd(aFd)
  {
  }
  ~Descriptor()
  {
    if (m_fd >= 0) {
      ::close(m_fd);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Get() const { return m_fd; }

private:
  const int m_fd;
};

// Decides whether a failed call is retried: always after EINTR, and for lack of
// space as long as aOnNoSpace returns true.
class RetryPolicy
{
public:
  explicit RetryPolicy(std::function<bool(const Error&)> aOnNoSpace)
    : m_onNoSpace(std::move(aOnNoSpace))
  {
  }

  // True when the call that failed with errno is to be made again. Keeps errno
  // otherwise.
  bool ShouldRetry(const char* aStep, const std::string& aPath) const
  {
    const int error = errno;
    if (error == EINTR) {
      return true;
    }
    const bool noSpace = error == ENOSPC || error == EDQUOT;
    const bool again =
      noSpace && m_onNoSpace && m_onNoSpace(IoError(aStep, aPath, error));
    errno = error;
    return again;
  }

private:
  const std::function<bool(const Error&)> m_onNoSpace;
};

class PosixFile : public File
{
public:
  PosixFile(int aFd, std::string aPath, const RetryPolicy& aPolicy)
    : m_fd(aFd)
    , m_path(std::move(aPath))
    , m_policy(aPolicy)
  {
  }

  Status Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t written = ::write(m_fd.Get(), aBytes.data(), aBytes.size());
      if (written < 0 && m_policy.ShouldRetry("write file", m_path)) {
        continue;
      }
      if (written < 0) {
        return IoError("write file", m_path, errno);
      }
      aBytes.remove_prefix(static_cast<size_t>(written));
    }
    return Ok();
  }

  Status Sync() override
  {
    while (::fdatasync(m_fd.Get()) != 0) {
      if (!m_policy.ShouldRetry("sync file", m_path)) {
        return IoError("sync file", m_path, errno);
      }
    }
    return Ok();
  }

  Status Truncate(size_t aSize) override
  {
    if (::ftruncate(m_fd.Get(), static_cast<off_t>(aSize)) != 0) {
      return IoError("truncate file", m_path, errno);
    }
    return Ok();
  }

private:
  const Descriptor m_fd;
  const std::string m_path;
  const RetryPolicy& m_policy;
};

class PosixFileSystem : public FileSystem
{
public:
  explicit PosixFileSystem(std::function<bool(const Error&)> aOnNoSpace)
    : m_policy(std::move(aOnNoSpace))
  {
  }

  Status MakeFolder(const std::string& aPath) override
  {
    std::error_code error;
    const std::filesystem::path path = std::filesystem::absolute(aPath, error);
    if (!std::filesystem::create_directories(path, error)) {
      if (error) {
        return IoError("create folder", aPath, error.value());
      }
      return Ok();
    }
    return SyncFolder(path.parent_path().string());
  }

  Result<std::vector<std::string>> List(const std::string& aPath) override
  {
    DIR* folder = ::opendir(aPath.c_str());
    if (folder == nullptr) {
      return IoError("list folder", aPath, errno);
    }
    std::vector<std::string> names;
    errno = 0;
    while (const dirent* entry = ::readdir(folder)) {
      names.emplace_back(entry->d_name);
      errno = 0;
    }
    const int error = errno;
    ::closedir(folder);
    if (error != 0) {
      return IoError("list folder", aPath, error);
    }
    std::erase_if(names, [](const std::string& aName) {
      return aName == "." || aName == "..";
    });
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    const Descriptor fd(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.Get() < 0) {
      return IoError("open file", aPath, errno);
    }
    std::string content;
    std::string buffer(kReadBytes, '\0');
    while (true) {
      const ssize_t count = ::read(fd.Get(), buffer.data(), buffer.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return IoError("read file", aPath, errno);
      }
      if (count == 0) {
        return content;
      }
      content.append(buffer, 0, static_cast<size_t>(count));
    }
  }

  Result<std::unique_ptr<File>> Open(const std::string& aPath) override
  {
    constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    int fd = ::open(aPath.c_str(), kFlags, kFileMode);
    while (fd < 0 && m_policy.ShouldRetry("open file", aPath)) {
      fd = ::open(aPath.c_str(), kFlags, kFileMode);
    }
    if (fd < 0) {
      return IoError("open file", aPath, errno);
    }
    return std::unique_ptr<File>(
      std::make_unique<PosixFile>(fd, aPath, m_policy));
  }

  Result<std::unique_ptr<File>> Lock(const std::string& aPath) override
  {
    const int fd =
      ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode);
    if (fd < 0) {
      return IoError("open file", aPath, errno);
    }
    auto file = std::make_unique<PosixFile>(fd, aPath, m_policy);
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK) {
        return Error{ ErrorCode::Conflict,
                      "lock data folder",
                      aPath,
                      "another process uses it" };
      }
      return IoError("lock data folder", aPath, errno);
    }
    return std::unique_ptr<File>(std::move(file));
  }

  Status Rename(const std::string& aFrom, const std::string& aTo) override
  {
    while (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
      if (!m_policy.ShouldRetry("rename file", aFrom)) {
        return IoError("rename file", aFrom, errno);
      }
    }
    return Ok();
  }

  Status Remove(const std::string& aPath) override
  {
    if (::unlink(aPath.c_str()) != 0) {
      return IoError("remove file", aPath, errno);
    }
    return Ok();
  }

  Status SyncFolder(const std::string& aPath) override
  {
    const Descriptor fd(
      ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.Get() < 0) {
      return IoError("open folder", aPath, errno);
    }
    while (::fsync(fd.Get()) != 0) {
      if (!m_policy.ShouldRetry("sync folder", aPath)) {
        return IoError("sync folder", aPath, errno);
      }
    }
    return Ok();
  }

private:
  const RetryPolicy m_policy;
};

} // namespace

std::unique_ptr<FileSystem> MakePosixFileSystem(
  std::function<bool(const Error&)> aOnNoSpace)
{
  return std::make_unique<PosixFileSystem>(std::move(aOnNoSpace));
}

} // namespace wigeonfold::storage
