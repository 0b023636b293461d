// Guards against a process that starts although a setting is unknown,
// contradictory, missing, given twice or out of range, and against error
// messages that do not tell the operator what to correct.

#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "gflags/gflags.h"
#include "runtime/settings.h"

namespace foxtailquay {
namespace {

using arguments = std::vector<std::string>;
using environment = std::map<std::string, std::string>;

const arguments kRouter{ "--role=router",
                         "--member=r1",
                         "--zone=z1",
                         "--listen=127.0.0.1:80",
                         "--peer_listen=127.0.0.1:81",
                         "--store=127.0.0.1:82" };
const arguments kAgent{ "--role=agent",
                        "--member=e1",
                        "--zone=z1",
                        "--peer_listen=127.0.0.1:81",
                        "--store=127.0.0.1:82",
                        "--backend=127.0.0.1:83" };

// Reads settings and then restores all flags to their previous values.
result<daemon_settings> ReadWithFreshFlags(const arguments& aArguments,
                                           const environment& aEnvironment = {})
{
  const gflags::FlagSaver restore;
  return ReadSettings(aArguments, aEnvironment, "/opt/bin");
}

// Returns aBase with aExtra in place of the setting of the same name, or added
// if there is none.
arguments WithSetting(arguments aBase, const std::string& aExtra)
{
  const std::string name = aExtra.substr(0, aExtra.find('=')) + "=";
  for (std::string& argument : aBase) {
    if (argument.rfind(name, 0) == 0) {
      argument.clear();
    }
  }
  aBase.erase(std::remove(aBase.begin(), aBase.end(), ""), aBase.end());
  aBase.push_back(aExtra);
  return aBase;
}

BOOST_AUTO_TEST_CASE(reads_router_and_agent_settings)
{
  const auto router = ReadWithFreshFlags(kRouter);
  BOOST_REQUIRE(IsOk(router));
  BOOST_TEST((GetValue(router).mRole == process_role::Router));
  BOOST_TEST(ToString(GetValue(router).mListen) == "127.0.0.1:80");
  BOOST_TEST(GetValue(router).mChartsDir ==
             "/opt/bin/../share/foxtailquay/charts");
  const auto agent = ReadWithFreshFlags(kAgent);
  BOOST_REQUIRE(IsOk(agent));
  BOOST_TEST(ToString(GetValue(agent).mBackend) == "127.0.0.1:83");
}

struct refusal_case
{
  const arguments& mBase;
  const char* mExtra;
  const char* mField;
  const char* mDetail;
};

BOOST_AUTO_TEST_CASE(errors_name_setting_value_and_correction)
{
  const refusal_case cases[] = {
    { kRouter, "--rolle=router", "--rolle", "the settings are" },
    { kRouter, "--role=proxy", "--role", "\"proxy\"" },
    { kRouter, "--role=", "--role", "router, agent or gateway" },
    { kRouter, "--backend=127.0.0.1:83", "--backend", "use --role=agent" },
    { kAgent, "--listen=127.0.0.1:80", "--listen", "use --role=router" },
    { kAgent, "--operator_key_file=k", "--operator_key_file", "only routers" },
    { kAgent, "--vm_list=127.0.0.1:9/v", "--vm_list", "only routers" },
    { kAgent, "--tls_cert_file=c", "--tls_key_file", "together" },
    { kRouter, "--tls_key_file=c", "--tls_cert_file", "together" },
    { kRouter, "--member=", "--member", "needs it" },
    { kRouter, "--member=a/b", "--member", "\"a/b\"" },
    { kRouter, "--listen=localhost:80", "--listen", "IP:port" },
    { kRouter, "--listen=127.0.0.1:0", "--listen", "IP:port" },
    { kRouter, "--listen=127.0.0.1:81", "--peer_listen", "differ" },
    { kRouter, "--peer_listen=0.0.0.0:81", "--peer_listen", "reach" },
    { kRouter, "--max_connections=0", "--max_connections", "from 1 to" },
    { kRouter, "--max_connections=x", "--max_connections", "whole number" },
    { kRouter, "--max_body_bytes=9", "--max_body_bytes", "from 1024" },
    { kRouter, "--log_level=loud", "--log_level", "debug, info" },
    { kRouter, "--log_levels=peer", "--log_levels", "component=level" },
    { kRouter, "--log_levels=pear=info", "--log_levels", "one of daemon" },
    { kRouter, "--log_levels=peer=loud", "--log_levels", "one of debug" },
    { kRouter, "--vm_list=127.0.0.1:9", "--vm_list", "IP:port/path" },
    { kRouter, "--operator_key_file=/nonexistent", "--operator_key_file",
      "readable file" },
    { kRouter, "stray", "stray", "unexpected argument" },
    { kRouter, "--store", "--store", "no value" },
  };
  for (const refusal_case& refused : cases) {
    const auto read =
      ReadWithFreshFlags(WithSetting(refused.mBase, refused.mExtra));
    BOOST_REQUIRE_MESSAGE(!IsOk(read), "accepted: " << refused.mExtra);
    BOOST_TEST((GetError(read).mCode == error_code::InvalidSetting));
    BOOST_TEST(GetError(read).mField == refused.mField);
    BOOST_TEST(GetError(read).mDetail.find(refused.mDetail) !=
                 std::string::npos,
               refused.mExtra << ": " << GetError(read).mDetail);
  }
}

BOOST_AUTO_TEST_CASE(refuses_a_setting_given_twice)
{
  arguments twice = kRouter;
  twice.emplace_back("--zone=z2");
  const auto read = ReadWithFreshFlags(twice);
  BOOST_REQUIRE(!IsOk(read));
  BOOST_TEST(GetError(read).mField == "--zone");
}

BOOST_AUTO_TEST_CASE(a_flag_takes_precedence_over_the_environment)
{
  arguments withoutZone = kRouter;
  withoutZone.erase(withoutZone.begin() + 2);
  const auto fromEnvironment = ReadWithFreshFlags(
    withoutZone, { { "FOXTAILQUAY_ZONE", "z7" }, { "PATH", "/bin" } });
  BOOST_REQUIRE(IsOk(fromEnvironment));
  BOOST_TEST(GetValue(fromEnvironment).mZone == "z7");
  const auto both =
    ReadWithFreshFlags(kRouter, { { "FOXTAILQUAY_ZONE", "z7" } });
  BOOST_REQUIRE(IsOk(both));
  BOOST_TEST(GetValue(both).mZone == "z1");
}

// The variables of foxtailquayctl have the same prefix and may be set in the
// daemon's environment; they are not unknown settings.
BOOST_AUTO_TEST_CASE(ignores_variables_of_foxtailquayctl)
{
  BOOST_TEST(
    IsOk(ReadWithFreshFlags(kRouter, { { "FOXTAILQUAY_CTL_ROUTER", "x" } })));
}

BOOST_AUTO_TEST_CASE(errors_name_the_environment_variable)
{
  const auto unknown =
    ReadWithFreshFlags(kRouter, { { "FOXTAILQUAY_ZONES", "z" } });
  BOOST_REQUIRE(!IsOk(unknown));
  BOOST_TEST(GetError(unknown).mField == "FOXTAILQUAY_ZONES");
  const auto contradictory =
    ReadWithFreshFlags(kAgent, { { "FOXTAILQUAY_LISTEN", "127.0.0.1:1" } });
  BOOST_REQUIRE(!IsOk(contradictory));
  BOOST_TEST(GetError(contradictory).mField == "FOXTAILQUAY_LISTEN");
}

BOOST_AUTO_TEST_CASE(reads_keys_and_refuses_short_ones)
{
  const std::string path = (std::filesystem::temp_directory_path() /
                            ("foxtailquay-key-" + std::to_string(getpid())))
                             .string();
  std::ofstream(path) << "0123456789abcdef\n";
  const auto good =
    ReadWithFreshFlags(WithSetting(kRouter, "--operator_key_file=" + path));
  BOOST_REQUIRE(IsOk(good));
  BOOST_TEST(GetValue(good).mOperatorKey == "0123456789abcdef");
  std::ofstream(path) << "short\n";
  const auto bad =
    ReadWithFreshFlags(WithSetting(kRouter, "--operator_key_file=" + path));
  BOOST_REQUIRE(!IsOk(bad));
  // The message must not contain the key.
  BOOST_TEST(GetError(bad).mDetail.find("short") == std::string::npos);
  std::filesystem::remove(path);
}

} // namespace
} // namespace foxtailquay
