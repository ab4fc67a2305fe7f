package org.clementinepost.storage.rows;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;
import reactor.netty.http.client.HttpClient;

/**
 * Has TCP probe the connections of a client.
 *
 * <p>A connection on which a call waits for changes can go silent without a reset. The probes end
 * it within about two seconds, and cost no call.
 */
public final class TcpKeepAlive {
  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int MAX_UNANSWERED_PROBES = 1;

  private TcpKeepAlive() {}

  /** Turns the probes on for the connections that a client will open. */
  public static HttpClient enable(HttpClient client) {
    HttpClient probing = client.option(ChannelOption.SO_KEEPALIVE, true);
    return Epoll.isAvailable() ? enableOnEpoll(probing) : enableOnNio(probing);
  }

  private static HttpClient enableOnEpoll(HttpClient client) {
    return client
        .option(EpollChannelOption.TCP_KEEPIDLE, IDLE_SECONDS)
        .option(EpollChannelOption.TCP_KEEPINTVL, INTERVAL_SECONDS)
        .option(EpollChannelOption.TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
  }

  private static HttpClient enableOnNio(HttpClient client) {
    return client
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
  }
}
