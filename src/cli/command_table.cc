// The table of commands with their help texts.

#include "cli/command.h"
#include "cli/commands.h"

namespace foxtailquay {

namespace {

using flag = cli_flag;

std::vector<command> MakeCommands()
{
  // Flags of the commands that call the routers in --router.
  const std::vector<cli_flag> remoteFlags = { flag::Router,
                                              flag::OperatorKeyFile,
                                              flag::TlsCaFile, flag::Timeout };
  const auto withRemoteFlags =
    [&remoteFlags](std::initializer_list<cli_flag> aMore) {
      std::vector<cli_flag> flags = remoteFlags;
      flags.insert(flags.end(), aMore);
      return flags;
    };
  // Flags of the commands that call one process, given as HOST.
  const std::vector<cli_flag> hostFlags = { flag::OperatorKeyFile,
                                            flag::PeerKeyFile, flag::TlsCaFile,
                                            flag::Timeout };
  return {
    { "config show", "", 0, 0, "print the current configuration",
      "Prints the configuration document of the router that responds, as a "
      "YAML file that \"config check\" accepts, or as JSON. \"version\" is "
      "the number that \"config patch --if-version\" needs.",
      "  foxtailquayctl config show > fleet.yaml\n", remoteFlags, &ShowConfig },
    { "config patch", "--if-version N FILE", 1, 1, "change the configuration",
      "Sends the patch in FILE (YAML or JSON). It takes effect as version "
      "N+1 on the whole fleet, or not at all: exit code 4 means that the "
      "configuration is no longer at version N. Show it again, check that "
      "the patch is still what you want, and send it with the new "
      "version.\n\n"
      "A patch has the sections of a configuration. An entry in it replaces "
      "the whole entry of that name: fields that are left out take their "
      "defaults. An entry set to null removes it. Entries that are not named "
      "stay. The section \"fleet\" is one entry.\n\n"
      "The patch carries an identifier (--id, or patch_id in FILE, or a "
      "random one that is printed). After exit code 5, repeat the command "
      "with the same version and identifier: if the patch took effect "
      "before, its version is printed and nothing changes.",
      "  foxtailquayctl config patch --if-version 41 drain-w7.yaml\n\n"
      "  with drain-w7.yaml:\n"
      "    backends:\n"
      "      model-07: {kind: engine, zone: surat-1, models: [loom-8b], "
      "drain: true}\n"
      "      model-08: null\n",
      withRemoteFlags({ flag::IfVersion, flag::Id }), &SendConfigPatch },
    { "config check",
      "FILE [PATCH...]",
      1,
      16,
      "check a configuration file, offline",
      "Checks the configuration in FILE as a router would, without sending "
      "anything to one. Patches are applied in order and checked at each "
      "step. An error names file, line and field, the value found and the "
      "value "
      "expected. With --output=json the resulting document is printed.",
      "  foxtailquayctl config show > now.yaml\n"
      "  foxtailquayctl config check now.yaml drain-w7.yaml\n",
      {},
      &CheckConfigFiles },
    { "config hash-key",
      "",
      0,
      0,
      "print the SHA-256 of an API key",
      "Reads one API key from standard input, without the line end, and "
      "prints the hash to enter in a workspace's key_hashes. The "
      "configuration never contains the key itself. Offline.",
      "  foxtailquayctl config hash-key < new.key\n",
      {},
      &HashApiKey },
    { "workspace list", "", 0, 0, "list workspaces and their budgets",
      "Prints each workspace of the configuration with its priority and its "
      "budgets, in the order in which they are charged.",
      "  foxtailquayctl workspace list --output=json\n", remoteFlags,
      &ShowWorkspaces },
    { "workspace topup", "BUDGET AMOUNT [--id ID]", 2, 2,
      "pay tokens into a prepaid budget",
      "Adds AMOUNT tokens to BUDGET and prints the account afterwards. A "
      "top-up is applied once for each identifier: repeating the command "
      "with the same --id is safe and has no further effect. Use the number "
      "of the invoice, so that two operators cannot apply it twice.",
      "  foxtailquayctl workspace topup pleatdesk-main 5000000 "
      "--id inv-2024-117\n",
      withRemoteFlags({ flag::Id }), &TopUpBudget },
    { "workspace usage", "BUDGET", 1, 1, "show the account of a budget",
      "Prints the tokens paid in, spent and unallocated (granted to no "
      "router), and each router's share. A share is \"held\" if its holder "
      "was fenced and its usage records may have been lost; see \"workspace "
      "release\".",
      "  foxtailquayctl workspace usage pleatdesk-main\n", remoteFlags,
      &ShowBudget },
    { "workspace release", "BUDGET HOLDER INCARNATION", 3, 3,
      "return a held share to its budget",
      "Returns the unspent tokens of a held share to BUDGET. Requests whose "
      "usage records were lost are then not billed: release a share only "
      "when you know their cost from other sources or accept the loss.\n\n"
      "Prints the account afterwards. A share that does not exist counts as "
      "released: check in the account that no share is still held under "
      "another name. After exit code 5, run \"workspace usage\" before you "
      "repeat the command.",
      "  foxtailquayctl workspace release pleatdesk-main router-2 17\n",
      remoteFlags, &ReleaseShare },
    { "state", "HOST", 1, 1, "dump the state of one process",
      "Prints the state of the router or agent at HOST (IP:port): its "
      "identity and versions, shares, backend servers, requests in flight. "
      "A router accepts the request on its caller port with the operator key. "
      "Routers and agents accept it on their peer port with the peer key.",
      "  foxtailquayctl state 192.0.2.7:8080\n", hostFlags, &ShowState },
    { "drain", "HOST", 1, 1, "stop one process gracefully",
      "Tells the process at HOST (IP:port) to stop: it accepts no new "
      "requests, finishes those in flight, settles them, hands over its "
      "shares and exits. Draining a process that is already stopping changes "
      "nothing. "
      "HOST is the caller port of a router, or with --peer_key_file the peer "
      "port of a router or agent.",
      "  foxtailquayctl drain 192.0.2.7:8080\n"
      "  foxtailquayctl drain 192.0.2.31:9090 --peer_key_file=peer.key\n",
      hostFlags, &DrainProcess },
    { "explain",
      "GATEWAY --host=HOST --path=PATH",
      1,
      1,
      "show where a request would go now, and why",
      "Asks the gateway at GATEWAY (IP:port, its port for other gateways) what "
      "would become of a request now: whether it would be sent, would wait or "
      "would be refused, where its prepaid tokens would come from, and for "
      "each server of the service the estimated delay and work and why it was "
      "passed over. Nothing is sent to a server, and nothing changes at the "
      "gateway.\n\n"
      "The workspace is given by its name or by a file with an API key, which "
      "is never printed. Other gateways know other loads, so that their "
      "choices may differ.",
      "  foxtailquayctl explain 192.0.2.21:7101 --host=shop.example "
      "--path=/chat/1 \\\n"
      "    --workspace=pleatdesk --tokens=1460,80\n",
      { flag::Host, flag::Path, flag::Workspace, flag::ApiKeyFile, flag::Tokens,
        flag::PromptParts, flag::LengthHint, flag::TimeLeft, flag::Attempt,
        flag::Timeout },
      &ExplainRequest },
    { "charts",
      "",
      0,
      0,
      "print the state charts as a Markdown page",
      "Reads the chart files that foxtailquayd interprets and prints one "
      "table of transitions for each. Offline.",
      "  foxtailquayctl charts --charts_dir=charts > charts.md\n",
      { flag::ChartsDir },
      &ShowCharts },
  };
}

} // namespace

const std::vector<command>& GetCommands()
{
  static const std::vector<command> kCommands = MakeCommands();
  return kCommands;
}

} // namespace foxtailquay
