// File system calls used by the storage, behind an interface so that tests can
// inject failures, partial writes and the loss of unsynced data.
#pragma once

#include "wigeonfold/base/Error.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonfold::storage {

// A file opened for appending. Not thread safe. Errors are Io with the path as
// the peer.
class File
{
public:
  File() = default;
  virtual ~File() = default;
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  // Writes all bytes at the end; on failure any part may have been written.
  virtual Status Append(std::string_view aBytes) = 0;
  // Makes the content durable (fdatasync).
  virtual Status Sync() = 0;
  // Shortens the file to aSize bytes.
  virtual Status Truncate(size_t aSize) = 0;
};

// Errors are Io with the path as the peer, or NotFound when the file or folder
// does not exist. Opened files must not outlive the object.
class FileSystem
{
public:
  FileSystem() = default;
  virtual ~FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;

  // Creates the folder and its parents; success when it exists already.
  virtual Status MakeFolder(const std::string& aPath) = 0;
  // Names of the files in the folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& aPath) = 0;
  // Content of the whole file.
  virtual Result<std::string> Read(const std::string& aPath) = 0;
  // Opens for appending and creates the file when it does not exist.
  virtual Result<std::unique_ptr<File>> Open(const std::string& aPath) = 0;
  // Holds an exclusive lock on the file until the handle is destroyed; fails
  // with Conflict when another process holds it.
  virtual Result<std::unique_ptr<File>> Lock(const std::string& aPath) = 0;
  // Replaces aTo atomically when it exists.
  virtual Status Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual Status Remove(const std::string& aPath) = 0;
  // Makes creations, renames and removals in the folder durable.
  virtual Status SyncFolder(const std::string& aPath) = 0;
};

// The files of the operating system. Thread safe if aOnNoSpace is. aOnNoSpace
// is called on the thread of the call each time opening, appending, syncing or
// renaming finds no space: true retries the call, any number of times, and
// false fails it with Io.
std::unique_ptr<FileSystem> MakePosixFileSystem(
  std::function<bool(const Error&)> aOnNoSpace = {});

} // namespace wigeonfold::storage
