// foxtailquayctl, the operators' command line tool. See src/cli/command.h.

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.h"

int main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  const foxtailquay::exit_code code = foxtailquay::RunProgram(
    arguments, [](const char* aName) { return std::getenv(aName); },
    { std::cin, std::cout, std::cerr });
  return static_cast<int>(code);
}
