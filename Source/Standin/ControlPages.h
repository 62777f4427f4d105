#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

#include <cxxtools/query_params.h>

#include "Model/Topology.h"

namespace camphorstep {

/// HTTP pages by which tests control a stand-in. Every page answers JSON and
/// takes its orders as query parameters.
class ControlPages
{
public:
  using Handler =
    std::function<void(std::ostream&, const cxxtools::QueryParams&)>;

  explicit ControlPages(const Address& aListen);
  ~ControlPages();

  ControlPages(const ControlPages&) = delete;
  ControlPages& operator=(const ControlPages&) = delete;

  /// Adds a page; only before Start.
  void Add(const std::string& aPath, Handler aHandler);

  /// Serves the pages on a thread of their own from now on.
  void Start();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
