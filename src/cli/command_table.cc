// The table of commands with their help texts.

#include "cli/command.h"
#include "cli/commands.h"

namespace foxtailquay {

namespace {

using flag = cli_flag;

std::vector<command> MakeCommands()
{
  const std::vector<cli_flag> remote = { flag::Router, flag::OperatorKeyFile,
                                         flag::TlsCaFile, flag::Timeout };
  const auto with = [&remote](std::initializer_list<cli_flag> aMore) {
    std::vector<cli_flag> flags = remote;
    flags.insert(flags.end(), aMore);
    return flags;
  };
  const std::vector<cli_flag> host = { flag::OperatorKeyFile, flag::PeerKeyFile,
                                       flag::TlsCaFile, flag::Timeout };
  return {
    { "config show", "", 0, 0, "print the configuration in force",
      "Prints the configuration document of the router that answers, as a "
      "YAML file that \"config check\" accepts, or as JSON. \"version\" is "
      "the number that \"config patch --if-version\" needs.",
      "  foxtailquayctl config show > fleet.yaml\n", remote, &ConfigShow },
    { "config patch", "--if-version N FILE", 1, 1, "change the configuration",
      "Sends the patch in FILE (YAML or JSON). It takes effect as version "
      "N+1 on the whole fleet, or not at all: exit code 4 means that the "
      "configuration is no longer at version N. Show it again, check that "
      "the patch still says what you want, and send it with the new "
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
      with({ flag::IfVersion, flag::Id }), &ConfigPatch },
    { "config check",
      "FILE [PATCH...]",
      1,
      16,
      "check a configuration file, offline",
      "Checks the configuration in FILE as a router would, without talking "
      "to one. Patches are applied in order and checked at each step. An "
      "error names file, line and field, the value found and what would be "
      "right. With --output=json the resulting document is printed.",
      "  foxtailquayctl config show > now.yaml\n"
      "  foxtailquayctl config check now.yaml drain-w7.yaml\n",
      {},
      &ConfigCheck },
    { "config hash-key",
      "",
      0,
      0,
      "print the SHA-256 of an API key",
      "Reads one API key from standard input, without the line end, and "
      "prints the text that stands for it in a workspace's key_hashes. The "
      "configuration never holds the key itself. Offline.",
      "  foxtailquayctl config hash-key < new.key\n",
      {},
      &ConfigHashKey },
    { "workspace list", "", 0, 0, "list workspaces and their budgets",
      "Prints each workspace of the configuration with its priority and its "
      "budgets, in the order in which they pay.",
      "  foxtailquayctl workspace list --output=json\n", remote,
      &WorkspaceList },
    { "workspace topup", "BUDGET AMOUNT [--id ID]", 2, 2,
      "pay tokens into a prepaid budget",
      "Adds AMOUNT tokens to BUDGET and prints the account afterwards. A "
      "top-up is applied once for each identifier: repeating the command "
      "with the same --id is safe and has no further effect. Use the number "
      "of the invoice, so that two operators cannot book it twice.",
      "  foxtailquayctl workspace topup pleatdesk-main 5000000 "
      "--id inv-2024-117\n",
      with({ flag::Id }), &WorkspaceTopUp },
    { "workspace usage", "BUDGET", 1, 1, "show the account of a budget",
      "Prints what was paid in and spent, what is unallocated (granted to no "
      "router), and each router's share. A share is \"held\" if its holder "
      "was fenced while usage records may have been lost; see \"workspace "
      "release\".",
      "  foxtailquayctl workspace usage pleatdesk-main\n", remote,
      &WorkspaceUsage },
    { "workspace release", "BUDGET HOLDER INCARNATION", 3, 3,
      "return a held share to its budget",
      "Returns the unspent rest of a held share to BUDGET. Requests whose "
      "usage records were lost are then not billed: do this only once you "
      "know from other sources what they cost, or accept the loss.\n\n"
      "Prints the account afterwards. A share that does not exist counts as "
      "released, so look for one that is still held under another name. After "
      "exit code 5, look at \"workspace usage\" before you repeat the "
      "command.",
      "  foxtailquayctl workspace release pleatdesk-main router-2 17\n", remote,
      &WorkspaceRelease },
    { "state", "HOST", 1, 1, "dump the state of one process",
      "Prints the state of the router or agent at HOST (IP:port): its "
      "identity and versions, shares, backend servers, requests in flight. "
      "Routers answer on their caller port with the operator key. Agents, and "
      "routers too, answer on their peer port with the peer key.",
      "  foxtailquayctl state 192.0.2.7:8080\n", host, &ShowState },
    { "drain", "HOST", 1, 1, "stop one process gracefully",
      "Asks the process at HOST (IP:port) to stop: it takes no new work, "
      "finishes what is in flight, settles, hands over its shares and "
      "exits. Draining a process that is stopping already changes nothing. "
      "HOST is the caller port of a router, or with --peer_key_file the peer "
      "port of a router or agent.",
      "  foxtailquayctl drain 192.0.2.7:8080\n"
      "  foxtailquayctl drain 192.0.2.31:9090 --peer_key_file=peer.key\n",
      host, &DrainProcess },
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

const std::vector<command>& Commands()
{
  static const std::vector<command> kCommands = MakeCommands();
  return kCommands;
}

} // namespace foxtailquay
