#pragma once

#include <utility>

namespace camphorstep {

/// Runs a function when the scope is left, whichever way that happens.
template<typename Function>
class ScopeGuard
{
public:
  explicit ScopeGuard(Function aFunction)
    : mFunction(std::move(aFunction))
  {
  }
  ~ScopeGuard() { mFunction(); }

  ScopeGuard(const ScopeGuard&) = delete;
  ScopeGuard& operator=(const ScopeGuard&) = delete;

private:
  Function mFunction;
};

}
