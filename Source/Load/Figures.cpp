#include "Load/Figures.h"

#include <iostream>

namespace camphorstep {

void
PrintFigure(const LoadSettings& aSettings,
            const std::string& aName,
            double aValue)
{
  std::cout << aSettings.mPrefix << aName << "=" << aValue << std::endl;
}

void
PrintFailures(const LoadSettings& aSettings,
              const std::string& aName,
              const StreamFigures& aFigures)
{
  for (const auto& [code, count] : aFigures.mFailures) {
    PrintFigure(aSettings,
                aName + "_failed_" + std::to_string(code),
                static_cast<double>(count));
  }
}

double
MillisecondsOf(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

}
