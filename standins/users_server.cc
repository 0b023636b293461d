// A server of the users' platform as a process of its own, which some requests
// crash (see crash_moment in users_platform.h). It does not register itself.

#include <gflags/gflags.h>

#include "users_platform.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free port");
DEFINE_string(id, "", "id that callers expect");

int main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  foxtailquay::users_server server;
  server.mPort = FLAGS_port;
  server.mCanCrash = true;
  foxtailquay::StartServer(server, FLAGS_id);
  server.mThread.join();
}
