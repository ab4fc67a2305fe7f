package org.clementinepost.storage.rows;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;
import reactor.netty.http.client.HttpClient;

/**
 * Enables TCP keep-alive on the connections of a client.
 *
 * <p>A connection on which a call waits for changes can fail without a reset. Keep-alive probes
 * close it within about 2 s and need no additional calls.
 */
public final class TcpKeepAlive {
  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int MAX_UNANSWERED_PROBES = 1;

  private TcpKeepAlive() {}

  /** Returns the client with keep-alive enabled for the connections that it will open. */
  public static HttpClient enable(HttpClient client) {
    HttpClient keepAliveClient = client.option(ChannelOption.SO_KEEPALIVE, true);
    return Epoll.isAvailable() ? enableOnEpoll(keepAliveClient) : enableOnNio(keepAliveClient);
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
