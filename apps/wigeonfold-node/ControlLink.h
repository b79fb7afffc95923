// The node's session with a control VM. All of it runs on the control thread.
#pragma once

#include "Messages.h"
#include "NodeMetrics.h"
#include "NodeSettings.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/distribution/Subscriber.h"
#include "wigeonfold/net/Connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace wigeonfold::node {

// Executes the actions of distribution::Subscriber and builds routing views.
// All methods run on the thread of the io_context.
class ControlLink
{
public:
  // aPublish passes an update to the data thread. When it returns false, it
  // is called again on the next tick, with the newest update.
  ControlLink(boost::asio::io_context& aIo,
              const NodeSettings& aSettings,
              int64_t aNodeEpoch,
              NodeMetrics& aMetrics,
              EventLog& aLog,
              std::function<bool(ViewUpdate)> aPublish);

  // Call once, with at least one control VM in the settings.
  void Start();
  // Closes all sessions after pending writes.
  void Stop();
  void OnMessage(const DataToControl& aMessage);

  bool HasSession() const { return m_subscriber.HasSession(); }
  // Adds control VMs to connect to; known addresses are skipped.
  void AddControlVms(const std::vector<NodeSettings::ControlVm>& aVms);

private:
  struct Session
  {
    net::ConnectionPtr m_connection; // null until connected
    // Delays the connection attempt.
    std::unique_ptr<boost::asio::steady_timer> m_connectTimer;
  };

  void Execute(const distribution::SubscriberActions& aActions);
  void Do(const distribution::ConnectTo& aAction);
  void Do(const distribution::SendFrame& aAction);
  void Do(const distribution::CloseSession& aAction);
  void Do(const distribution::ApplyState& aAction);
  void Do(const distribution::ReportRefusal& aAction);
  void Do(const distribution::BecomeReady& aAction);
  void Do(const distribution::NoteLeaving& aAction);
  void Do(const distribution::NoteCrashes& aAction);
  void Do(const distribution::NoteQuotas& aAction);
  void Do(const distribution::NoteCurrent& aAction);
  void Connect(distribution::SessionId aId, const SocketAddress& aAddress);
  void OnClosed(distribution::SessionId aId, const Error& aError);
  Status CheckState(const distribution::NodeState& aState);
  Result<std::shared_ptr<const routing::View>> TakeOrBuildView(
    const distribution::NodeState& aState);
  Result<std::shared_ptr<const routing::View>> BuildView(
    const distribution::NodeState& aState) const;
  void BuildWhenDue(TimePoint aNow);
  void Publish();
  void PublishCurrentAsOf();
  // The update that Publish() sends next.
  ViewUpdate& Unpublished();
  void Tick();

  boost::asio::io_context& m_io;
  const NodeSettings m_settings;
  NodeMetrics& m_metrics;
  EventLog& m_log;
  const std::function<bool(ViewUpdate)> m_publish;
  distribution::Subscriber m_subscriber;
  std::map<distribution::SessionId, Session> m_sessions;
  boost::asio::steady_timer m_tickTimer;
  std::shared_ptr<const routing::View> m_newestView; // null before the first
  // View of a state that was checked but not applied yet.
  std::shared_ptr<const routing::View> m_checkedView;
  distribution::NodeStatePtr m_unbuiltState; // applied, view not yet built
  TimePoint m_nextBuild{};
  Version m_builtVersion;
  std::optional<ViewUpdate> m_unpublished; // not yet taken by the data thread
  std::optional<TimePoint> m_currentAsOf;  // as published last
  bool m_ready = false;
  bool m_confirmed = false; // see ViewUpdate
  bool m_stopped = false;
};

} // namespace wigeonfold::node
