// Reserves a TCP port of 127.0.0.1, so that the kernel assigns it to no other
// program: a socket is bound to the port but does not listen. Connections are
// refused until a server listens on the port, which must set SO_REUSEADDR.
//
//   const reserved_port port;
//   StartServer(port.mPort);
//
// The reservation ends with the object.

#ifndef STANDINS_RESERVED_PORT_H
#define STANDINS_RESERVED_PORT_H

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace foxtailquay {

struct reserved_port
{
  reserved_port()
  {
    const int yes = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(mSocket, generic, size) == 0 &&
        getsockname(mSocket, generic, &size) == 0) {
      mPort = ntohs(address.sin_port);
    }
  }
  reserved_port(reserved_port&& aOther) noexcept
    : mSocket(std::exchange(aOther.mSocket, -1))
    , mPort(aOther.mPort)
  {}
  reserved_port(const reserved_port&) = delete;
  reserved_port& operator=(const reserved_port&) = delete;
  reserved_port& operator=(reserved_port&&) = delete;
  ~reserved_port()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
  }

  int mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // 0 if no port is available.
  unsigned short mPort = 0;
};

} // namespace foxtailquay

#endif
