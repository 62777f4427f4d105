#include "Shell/CallerListener.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <thread>

#include <poll.h>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <cxxtools/serializationinfo.h>

#include "Common/Log.h"
#include "Shell/Clock.h"
#include "Shell/HttpAnswer.h"
#include "Shell/InputGuard.h"
#include "Shell/RequestFraming.h"
#include "Shell/UnknownPathService.h"
#include "Wire/JsonText.h"

namespace camphorstep {

namespace {

constexpr std::int64_t kMaxDeadlineMs = 600'000;
/// Beyond its largest body a connection may have this much underway: headers,
/// and requests that follow before the answer.
constexpr std::uint64_t kMaxPipelinedBytes = 256 * 1024;
constexpr unsigned kMinThreads = 8;

/// The path of each operation.
struct OperationPath
{
  CallerOperation mOperation;
  const char* mPath;
};

constexpr std::array kOperationPaths{
  OperationPath{ CallerOperation::Run, "/v1/run" },
  OperationPath{ CallerOperation::Begin, "/v1/begin" },
  OperationPath{ CallerOperation::Commit, "/v1/commit" },
  OperationPath{ CallerOperation::Rollback, "/v1/rollback" },
  OperationPath{ CallerOperation::Lookup, "/v1/outcome" },
};

/// A field of a request that cannot be used.
class FieldError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

bool
ReadAccess(const std::string& aAccess)
{
  if (aAccess == "write") {
    return true;
  }
  if (aAccess == "read") {
    return false;
  }
  throw FieldError("field 'access' must be 'read' or 'write'");
}

Duration
ReadDeadline(const cxxtools::SerializationInfo& aField)
{
  std::int64_t milliseconds = 0;
  try {
    aField.getValue(milliseconds);
  } catch (const std::exception&) {
    throw FieldError("field 'deadline_ms' must be a whole number");
  }
  if (milliseconds < 1 || milliseconds > kMaxDeadlineMs) {
    throw FieldError("field 'deadline_ms' must be from 1 to " +
                     std::to_string(kMaxDeadlineMs));
  }
  return std::chrono::milliseconds(milliseconds);
}

std::string
ReadText(const cxxtools::SerializationInfo& aField)
{
  if (aField.category() != cxxtools::SerializationInfo::Value) {
    throw FieldError("field '" + aField.name() + "' must be a text");
  }
  std::string text;
  aField.getValue(text);
  return text;
}

bool
ReadFlag(const cxxtools::SerializationInfo& aField)
{
  if (aField.typeName() != "bool") {
    throw FieldError("field '" + aField.name() + "' must be true or false");
  }
  bool flag = false;
  aField.getValue(flag);
  return flag;
}

void
ReadField(const cxxtools::SerializationInfo& aField, CallerRequest& aRequest)
{
  const std::string& name = aField.name();
  if (name == "database") {
    aRequest.mDatabase = ReadText(aField);
  } else if (name == "text") {
    aRequest.mText = ReadText(aField);
  } else if (name == "access") {
    aRequest.mWrite = ReadAccess(ReadText(aField));
  } else if (name == "idempotent") {
    aRequest.mIdempotent = ReadFlag(aField);
  } else if (name == "key") {
    aRequest.mKey = ReadText(aField);
  } else if (name == "deadline_ms") {
    aRequest.mDeadline = ReadDeadline(aField);
  } else if (name == "session") {
    aRequest.mSessionToken = ReadText(aField);
  } else if (name == "transaction") {
    aRequest.mTransaction = ReadText(aField);
  } else {
    throw FieldError("field '" + name + "' is not known");
  }
}

/// Checks that the fields which an operation needs are there.
void
CheckFields(const CallerRequest& aRequest)
{
  const bool inTransaction = !aRequest.mTransaction.empty();
  const bool endsTransaction = aRequest.mOperation == CallerOperation::Commit ||
                               aRequest.mOperation == CallerOperation::Rollback;
  if (endsTransaction && !inTransaction) {
    throw FieldError("field 'transaction' is missing");
  }
  if (!inTransaction && aRequest.mDatabase.empty()) {
    throw FieldError("field 'database' is missing");
  }
  if (aRequest.mOperation == CallerOperation::Run && aRequest.mText.empty()) {
    throw FieldError("field 'text' is missing");
  }
  if (aRequest.mOperation == CallerOperation::Lookup && aRequest.mKey.empty()) {
    throw FieldError("field 'key' is missing");
  }
}

/// Whether the other side has closed a connection.
bool
IsClosed(int aSocket)
{
  pollfd socket{ aSocket, POLLRDHUP, 0 };
  return ::poll(&socket, 1, 0) > 0;
}

/// What all responders of the listener share.
struct ListenerContext
{
  const Settings& mSettings;
  CallGateway& mGateway;
  InputGuard& mGuard;
};

class CallerResponder : public cxxtools::http::Responder
{
public:
  CallerResponder(cxxtools::http::Service& aService,
                  const ListenerContext& aContext,
                  CallerOperation aOperation)
    : cxxtools::http::Responder(aService)
    , mContext(aContext)
    , mOperation(aOperation)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream&,
                    cxxtools::http::Request& aRequest) override
  {
    mSocket = aSocket.getFd();
    mContext.mGuard.NoteRequest(mSocket);
    mBody.clear();
    mRemaining = aRequest.header().contentLength();
    mFault = FindFramingFault(aRequest, mContext.mSettings.mMaxRequestBytes);
    if (mFault) {
      throw std::runtime_error("the request's body cannot be read");
    }
  }

  std::size_t readBody(std::istream& aIn) override
  {
    std::array<char, 4'096> buf{};
    std::size_t total = 0;
    // What follows the body is the caller's next request.
    while (mRemaining > 0 && aIn.rdbuf()->in_avail() > 0) {
      const auto wanted =
        std::min({ aIn.rdbuf()->in_avail(),
                   static_cast<std::streamsize>(buf.size()),
                   static_cast<std::streamsize>(mRemaining) });
      const std::streamsize n = aIn.rdbuf()->sgetn(buf.data(), wanted);
      total += static_cast<std::size_t>(n);
      mRemaining -= static_cast<std::size_t>(n);
      mBody.append(buf.data(), static_cast<std::size_t>(n));
    }
    return total;
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    CallerAnswer answer = Answer(aRequest);
    // The last look at the clock before the bytes go out: an answer under a
    // lease must not be given after the lease's end.
    if (MonotonicNow() >= answer.mValidUntil) {
      answer = RefusalOf(ResultCode::LeaseExpired);
      answer.mOutcome = Outcome::Unknown;
    }
    WriteAnswer(aOut, aReply, answer);
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    const ResultCode code = mFault.value_or(ResultCode::MalformedRequest);
    WriteAnswer(aOut, aReply, RefusalOf(code, aError.what()));
    aReply.setHeader("Connection", "close");
  }

private:
  CallerAnswer Answer(const cxxtools::http::Request& aRequest)
  {
    if (aRequest.method() != "POST") {
      return RefusalOf(ResultCode::WrongMethod, "use POST");
    }
    const auto service =
      mContext.mSettings.mCallers.find(BearerToken(aRequest));
    if (service == mContext.mSettings.mCallers.end()) {
      return RefusalOf(ResultCode::Unauthenticated);
    }
    CallerRequestReading reading = ReadCallerRequest(mOperation, mBody);
    if (reading.mCode != ResultCode::Ok) {
      return RefusalOf(reading.mCode, reading.mError);
    }
    reading.mRequest.mService = service->second;
    return mContext.mGateway.Execute(std::move(reading.mRequest),
                                     [this] { return IsClosed(mSocket); });
  }

  const ListenerContext& mContext;
  CallerOperation mOperation;
  /// The caller's connection; the library owns it.
  int mSocket = -1;
  std::string mBody;
  /// Bytes of the body that are still to come.
  std::size_t mRemaining = 0;
  std::optional<ResultCode> mFault;
};

class CallerService : public cxxtools::http::Service
{
public:
  CallerService(const ListenerContext& aContext, CallerOperation aOperation)
    : mContext(aContext)
    , mOperation(aOperation)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new CallerResponder(*this, mContext, mOperation);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  const ListenerContext& mContext;
  CallerOperation mOperation;
};

}

class CallerListener::Impl
{
public:
  Impl(const Settings& aSettings, CallGateway& aGateway)
    : mGuard(aSettings.mCallerAddress,
             aSettings.mMaxRequestBytes + kMaxPipelinedBytes)
    , mContext{ aSettings, aGateway, mGuard }
    , mServer(mLoop,
              aSettings.mCallerAddress.mIp,
              aSettings.mCallerAddress.mPort)
  {
    mServer.minThreads(kMinThreads);
    mServer.maxThreads(aSettings.mCallerThreads);
    mServer.readTimeout(cxxtools::Milliseconds(
      static_cast<double>(aSettings.mCallerReadTimeout.count()) / 1000.0));
    for (const OperationPath& path : kOperationPaths) {
      mServices.push_back(
        std::make_unique<CallerService>(mContext, path.mOperation));
      mServer.addService(path.mPath, *mServices.back());
    }
    // Matched last.
    mServer.addService(cxxtools::Regex(".*"), mUnknownPaths);
    mThread = std::thread([this] { mLoop.run(); });
  }

  ~Impl()
  {
    mLoop.exit();
    mThread.join();
  }

private:
  InputGuard mGuard;
  ListenerContext mContext;
  std::vector<std::unique_ptr<CallerService>> mServices;
  UnknownPathService mUnknownPaths;
  cxxtools::EventLoop mLoop;
  cxxtools::http::Server mServer;
  std::thread mThread;
};

CallerListener::CallerListener(const Settings& aSettings, CallGateway& aGateway)
  : mImpl(std::make_unique<Impl>(aSettings, aGateway))
{
}

CallerListener::~CallerListener() = default;

CallerRequestReading
ReadCallerRequest(CallerOperation aOperation, const std::string& aBody)
{
  CallerRequestReading reading;
  reading.mRequest.mOperation = aOperation;
  try {
    const cxxtools::SerializationInfo info = ParseJsonObject(aBody);
    std::set<std::string> names;
    for (const cxxtools::SerializationInfo& field : info) {
      if (!names.insert(field.name()).second) {
        throw FieldError("field '" + field.name() + "' is given twice");
      }
      ReadField(field, reading.mRequest);
    }
    CheckFields(reading.mRequest);
  } catch (const FieldError& ex) {
    reading.mCode = ResultCode::InvalidField;
    reading.mError = ex.what();
  } catch (const std::exception& ex) {
    reading.mCode = ResultCode::MalformedRequest;
    reading.mError = ex.what();
  }
  return reading;
}

}
