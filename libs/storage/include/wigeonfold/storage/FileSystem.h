// File system calls used by the storage, behind an interface so that tests can
// inject failures, torn writes and the loss of unsynced data.
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
  // Cuts the file to the size.
  virtual Status Truncate(size_t aSize) = 0;
};

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
  // The whole file; fails with NotFound when it does not exist.
  virtual Result<std::string> Read(const std::string& aPath) = 0;
  // Opens for appending and creates the file when it does not exist.
  virtual Result<std::unique_ptr<File>> Open(const std::string& aPath) = 0;
  // Holds an exclusive lock on the file until the handle is destroyed; fails
  // with Conflict when another process holds it.
  virtual Result<std::unique_ptr<File>> Lock(const std::string& aPath) = 0;
  // Replaces aTo atomically.
  virtual Status Rename(const std::string& aFrom, const std::string& aTo) = 0;
  virtual Status Remove(const std::string& aPath) = 0;
  // Makes creations, renames and removals in the folder durable.
  virtual Status SyncFolder(const std::string& aPath) = 0;
};

// The operating system's files. The object holds no state and may be shared by
// threads.
// aOnNoSpace is called, on the thread of the call, each time a call finds no
// space; true tries it again, which may go on until space is free, and false
// fails it.
std::unique_ptr<FileSystem> MakePosixFileSystem(
  std::function<bool(const Error&)> aOnNoSpace = {});

} // namespace wigeonfold::storage
