#include "Load/LinkControl.h"

#include <cxxtools/serializationinfo.h>

#include "Load/ControlPage.h"
#include "Wire/JsonText.h"

namespace camphorstep {

LinkBytes
ReadLinkBytes(const Address& aControl)
{
  const cxxtools::SerializationInfo info =
    ParseJsonObject(FetchControlPage(aControl, "/status", {}));
  LinkBytes bytes;
  info.getMember("bytes_forward") >>= bytes.mForward;
  info.getMember("bytes_back") >>= bytes.mBack;
  return bytes;
}

void
ControlLink(const Address& aControl, const std::string& aOrder)
{
  FetchControlPage(aControl, "/control", aOrder);
}

}
