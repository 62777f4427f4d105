#pragma once

#include <memory>

#include "Settings/Settings.h"
#include "Shell/CallGateway.h"

namespace camphorstep {

/// Serves callers over HTTP with JSON bodies, as docs/CALLERS.md describes.
class CallerListener
{
public:
  CallerListener(const Settings& aSettings, CallGateway& aGateway);
  ~CallerListener();

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Reads the JSON body of a caller's request. On failure the code tells why
/// and the error text names the field.
struct CallerRequestReading
{
  CallerRequest mRequest;
  ResultCode mCode = ResultCode::Ok;
  std::string mError;
};

CallerRequestReading ReadCallerRequest(CallerOperation aOperation,
                                       const std::string& aBody);

}
