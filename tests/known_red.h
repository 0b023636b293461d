// Looks up tests that are known to fail in KNOWN-RED.txt in the root folder. A
// test program ignores the failures that are listed there and prints them, so
// that it fails only for other tests.

#ifndef TESTS_KNOWN_RED_H
#define TESTS_KNOWN_RED_H

#include <fstream>
#include <iostream>
#include <string>

namespace foxtailquay {

// Returns true, and prints the line, if KNOWN-RED.txt has a line that starts
// with "aTest aCase:".
inline bool IsKnownFailure(const std::string& aTest, const std::string& aCase)
{
  std::ifstream file(std::string(FOXTAILQUAY_SOURCE_DIR) + "/KNOWN-RED.txt");
  const std::string name = aTest + " " + aCase + ":";
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, name.size(), name) == 0) {
      std::cout << "known failure, ignored: " << line << "\n";
      return true;
    }
  }
  return false;
}

} // namespace foxtailquay

#endif
