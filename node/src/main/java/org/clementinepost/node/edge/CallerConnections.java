package org.clementinepost.node.edge;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.collection.Vector;
import org.clementinepost.kernel.Address;
import org.clementinepost.node.metrics.MetricsMessage;

/** The open connections of all callers, and what operators see of them. */
final class CallerConnections {
  /** The period of {@link #check}. */
  static final long CHECK_MILLIS = 1_000;

  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Address<MetricsMessage> metrics;

  CallerConnections(Address<MetricsMessage> metrics) {
    this.metrics = metrics;
  }

  /** Returns the group to which the HTTP server adds each connection. */
  ChannelGroup channels() {
    return channels;
  }

  int size() {
    return channels.size();
  }

  /** Reports the number of connections, and closes those on which nothing happens. */
  void check() {
    Vector<CallerConnection> open =
        Vector.ofAll(channels).flatMap(channel -> CallerConnection.of(channel));
    setGauge("open", open.size());
    setGauge("idle", open.count(CallerConnection::isIdle));
    setGauge("stalled", open.count(CallerConnection::isStalled));
    channels.forEach(CallerConnection::check);
  }

  private void setGauge(String state, int connections) {
    metrics.send(new MetricsMessage.SetGauge("edge.connections." + state, connections));
  }

  /** Closes each connection as soon as nothing is in flight on it. */
  void closeWhenIdle() {
    channels.forEach(CallerConnection::closeWhenIdle);
  }

  /** Closes all connections at once. */
  void close() {
    ChannelGroupFuture unused = channels.close();
  }
}
