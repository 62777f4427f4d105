#pragma once

// cxxtools' string header names member types of std::allocator that C++20 has
// removed. This specialization for cxxtools' own character type, which the
// standard permits, brings them back. It must be seen before any header of
// cxxtools, so the compiler includes it ahead of every source file that uses
// the library (see Source/Common/CMakeLists.txt).

#include <cstddef>
#include <memory>

namespace cxxtools {
class Char;
}

template<>
class std::allocator<cxxtools::Char>
{
public:
  using value_type = cxxtools::Char;
  using size_type = std::size_t;
  using difference_type = std::ptrdiff_t;
  using reference = cxxtools::Char&;
  using const_reference = const cxxtools::Char&;
  using pointer = cxxtools::Char*;
  using const_pointer = const cxxtools::Char*;

  allocator() noexcept = default;

  template<typename Other>
  allocator(const std::allocator<Other>&) noexcept
  {
  }

  pointer allocate(size_type aCount);
  void deallocate(pointer aChars, size_type aCount) noexcept;
  void construct(pointer aChar, const_reference aValue);
  void destroy(pointer aChar);

  bool operator==(const allocator&) const noexcept { return true; }
};

#include <cxxtools/char.h>

inline cxxtools::Char*
std::allocator<cxxtools::Char>::allocate(size_type aCount)
{
  return static_cast<pointer>(::operator new(aCount * sizeof(cxxtools::Char)));
}

inline void
std::allocator<cxxtools::Char>::deallocate(pointer aChars, size_type) noexcept
{
  ::operator delete(aChars);
}

inline void
std::allocator<cxxtools::Char>::construct(pointer aChar, const_reference aValue)
{
  ::new (static_cast<void*>(aChar)) cxxtools::Char(aValue);
}

inline void
std::allocator<cxxtools::Char>::destroy(pointer aChar)
{
  aChar->~Char();
}
