#ifndef PERSIMMONTALLY_LIB_STATE_DURABLEFILE_H
#define PERSIMMONTALLY_LIB_STATE_DURABLEFILE_H

#include "absl/status/statusor.h"

#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

#include <unistd.h>

namespace persimmontally {

/// Owns a file descriptor.
class File
{
public:
  File() = default;
  explicit File(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~File() { Reset(); }
  File(File&& aOther) noexcept
    : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  {
  }
  File& operator=(File&& aOther) noexcept
  {
    Reset();
    m_descriptor = std::exchange(aOther.m_descriptor, -1);
    return *this;
  }

  int Get() const { return m_descriptor; }
  bool IsOpen() const { return m_descriptor >= 0; }

private:
  void Reset()
  {
    if (m_descriptor >= 0) {
      ::close(m_descriptor);
      m_descriptor = -1;
    }
  }

  int m_descriptor = -1;
};

/// Error of a failed system call, with the text of `errno`.
absl::Status IoError(const std::string& aOperation,
                     const std::filesystem::path& aPath);

absl::Status WriteAll(int aDescriptor,
                      std::string_view aData,
                      const std::filesystem::path& aPath);

absl::Status SyncFolder(const std::filesystem::path& aFolder);

/// Replaces a file atomically and durably: after a crash it has either the old
/// or the new content.
absl::Status ReplaceFile(const std::filesystem::path& aPath,
                         std::string_view aData);

absl::StatusOr<std::string> ReadFile(const std::filesystem::path& aPath);

} // namespace persimmontally

#endif
