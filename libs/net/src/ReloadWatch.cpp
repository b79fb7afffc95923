#include "wigeonfold/net/ReloadWatch.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace wigeonfold::net {

namespace {

class Watch : public ReloadWatch
{
public:
  Watch(boost::asio::io_context& aIo,
        Duration aPeriod,
        std::function<void(ReloadCause)> aOnReload)
    : m_period(aPeriod)
    , m_onReload(std::move(aOnReload))
    , m_hangup(aIo, SIGHUP)
    , m_timer(aIo)
  {
    AwaitHangup();
    AwaitPeriod();
  }

private:
  // Destroying the watch cancels the waits: their handlers then get an error
  // code and don't touch the watch.
  void AwaitHangup()
  {
    m_hangup.async_wait([this](boost::system::error_code aCode, int) {
      if (!aCode) {
        m_onReload(ReloadCause::Hangup);
        AwaitHangup();
      }
    });
  }

  void AwaitPeriod()
  {
    m_timer.expires_after(m_period);
    m_timer.async_wait([this](boost::system::error_code aCode) {
      if (!aCode) {
        m_onReload(ReloadCause::Period);
        AwaitPeriod();
      }
    });
  }

  const Duration m_period;
  const std::function<void(ReloadCause)> m_onReload;
  boost::asio::signal_set m_hangup;
  boost::asio::steady_timer m_timer;
};

} // namespace

std::unique_ptr<ReloadWatch> WatchForReload(
  boost::asio::io_context& aIo,
  Duration aPeriod,
  std::function<void(ReloadCause)> aOnReload)
{
  return std::make_unique<Watch>(aIo, aPeriod, std::move(aOnReload));
}

} // namespace wigeonfold::net
