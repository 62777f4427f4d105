#include "Common/TextFile.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace camphorstep {

std::string
ReadTextFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    throw std::runtime_error(aPath + ": cannot be read");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

}
