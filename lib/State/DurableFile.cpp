#include "DurableFile.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>

namespace persimmontally {

namespace fs = std::filesystem;

absl::Status IoError(const std::string& aOperation, const fs::path& aPath)
{
  return absl::UnavailableError(aOperation + " " + aPath.string() + ": " +
                                std::strerror(errno));
}

absl::Status WriteAll(int aDescriptor,
                      std::string_view aData,
                      const fs::path& aPath)
{
  while (!aData.empty()) {
    ssize_t written = ::write(aDescriptor, aData.data(), aData.size());
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      return IoError("write", aPath);
    }
    aData.remove_prefix(static_cast<size_t>(written));
  }
  return absl::OkStatus();
}

absl::Status SyncFolder(const fs::path& aFolder)
{
  File folder(::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.IsOpen() || ::fsync(folder.Get()) != 0) {
    return IoError("sync folder", aFolder);
  }
  return absl::OkStatus();
}

absl::Status ReplaceFile(const fs::path& aPath, std::string_view aData)
{
  fs::path temporary = aPath.string() + ".new";
  File file(
    ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file.IsOpen()) {
    return IoError("open", temporary);
  }
  absl::Status written = WriteAll(file.Get(), aData, temporary);
  if (!written.ok()) {
    return written;
  }
  if (::fsync(file.Get()) != 0) {
    return IoError("sync", temporary);
  }
  if (::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return IoError("rename", temporary);
  }
  return SyncFolder(aPath.parent_path());
}

absl::StatusOr<std::string> ReadFile(const fs::path& aPath)
{
  File file(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.IsOpen()) {
    return IoError("open", aPath);
  }
  std::string data;
  char buffer[65536];
  for (;;) {
    ssize_t got = ::read(file.Get(), buffer, sizeof buffer);
    if (got < 0) {
      return IoError("read", aPath);
    }
    if (got == 0) {
      return data;
    }
    data.append(buffer, static_cast<size_t>(got));
  }
}

} // namespace persimmontally
