// Runs foxtailquayctl inside a test program, with temporary files and ports.

#ifndef FOXTAILQUAY_TESTS_CLI_RUN_H
#define FOXTAILQUAY_TESTS_CLI_RUN_H

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_split.h"
#include "cli/command.h"
#include "gflags/gflags.h"

namespace foxtailquay {

struct run_outcome
{
  exit_code mExit = exit_code::Ok;
  std::string mOut;
  std::string mErr;
};

using variables = std::map<std::string, std::string>;

// Runs aArguments with aInput as standard input and aEnvironment as the only
// environment variables.
inline run_outcome RunCli(const std::vector<std::string>& aArguments,
                          const std::string& aInput = "",
                          const variables& aEnvironment = {})
{
  const gflags::FlagSaver saver;
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  const exit_code code = RunProgram(
    aArguments,
    [&aEnvironment](const char* aName) {
      const auto found = aEnvironment.find(aName);
      return found == aEnvironment.end() ? nullptr : found->second.c_str();
    },
    { in, out, err });
  return { code, out.str(), err.str() };
}

inline bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// A temporary folder that is removed with the object.
struct scratch_folder
{
  std::filesystem::path mPath;

  scratch_folder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "cli_test_XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    mPath = name;
  }
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;
  ~scratch_folder() { std::filesystem::remove_all(mPath); }
};

// Writes a file in the folder and returns its path.
inline std::string WriteFile(const scratch_folder& aFolder,
                             const std::string& aName, const std::string& aText)
{
  std::string path = (aFolder.mPath / aName).string();
  std::ofstream(path) << aText;
  return path;
}

// A port of 127.0.0.1 that refuses connections, or accepts them and never
// responds.
struct unresponsive_port
{
  int mSocket = -1;
  std::string mAddress;

  explicit unresponsive_port(bool aAccepts)
  {
    mSocket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(mSocket, generic, size) == 0);
    BOOST_REQUIRE(getsockname(mSocket, generic, &size) == 0);
    BOOST_REQUIRE(!aAccepts || listen(mSocket, 8) == 0);
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  unresponsive_port(const unresponsive_port&) = delete;
  unresponsive_port& operator=(const unresponsive_port&) = delete;
  ~unresponsive_port() { close(mSocket); }
};

// Splits a command line without quotes into words.
inline std::vector<std::string> SplitWords(const std::string& aLine)
{
  return absl::StrSplit(aLine, ' ', absl::SkipEmpty());
}

} // namespace foxtailquay

#endif
