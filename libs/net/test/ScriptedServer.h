// A server that writes fixed bytes, for tests of what clients make of them.
#pragma once

#include <utility>

#include <atomic>
#include <boost/asio.hpp>
#include <string>
#include <thread>

namespace wigeonfold::net {

// How a ScriptedServer ends a connection.
enum class ServerEnd
{
  None, // it waits for the client
  Close,
  Reset,
};

// Accepts connections one after the other. On each it reads until the end of a
// request's head, writes the bytes and ends the connection as told. Stops when
// it is destroyed.
class ScriptedServer
{
public:
  ScriptedServer(std::string aBytes, ServerEnd aEnd)
    : m_bytes(std::move(aBytes))
    , m_end(aEnd)
    , m_acceptor(m_io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] { Run(); })
  {
  }
  ~ScriptedServer()
  {
    m_stopping = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket last(m_io);
    last.connect({ boost::asio::ip::make_address("127.0.0.1"), m_port },
                 ignored); // wakes the accept
    m_thread.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  uint16_t Port() const { return m_port; }

private:
  void Run()
  {
    while (true) {
      boost::asio::ip::tcp::socket socket = m_acceptor.accept();
      if (m_stopping) {
        return;
      }
      Serve(socket);
    }
  }

  void Serve(boost::asio::ip::tcp::socket& aSocket) const
  {
    boost::system::error_code code;
    std::string request;
    boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(request), "\r\n\r\n", code);
    boost::asio::write(aSocket, boost::asio::buffer(m_bytes), code);
    if (m_end == ServerEnd::Reset) {
      aSocket.set_option(boost::asio::socket_base::linger(true, 0), code);
    } else if (m_end == ServerEnd::None) {
      boost::asio::read(aSocket, boost::asio::dynamic_buffer(request), code);
    }
    aSocket.close(code); // the destructor would not reset
  }

  const std::string m_bytes;
  const ServerEnd m_end;
  std::atomic<bool> m_stopping{ false };
  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const uint16_t m_port;
  std::thread m_thread;
};

} // namespace wigeonfold::net
