#pragma once

#include <unistd.h>
#include <utility>

namespace camphorstep {

/// Owns a file descriptor of the operating system and closes it at the end.
class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aValue)
    : mValue(aValue)
  {
  }
  FileDescriptor(FileDescriptor&& aOther) noexcept
    : mValue(std::exchange(aOther.mValue, -1))
  {
  }
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept
  {
    std::swap(mValue, aOther.mValue);
    return *this;
  }
  ~FileDescriptor()
  {
    if (mValue >= 0) {
      ::close(mValue);
    }
  }

  int Get() const { return mValue; }
  bool IsOpen() const { return mValue >= 0; }

private:
  int mValue = -1;
};

}
