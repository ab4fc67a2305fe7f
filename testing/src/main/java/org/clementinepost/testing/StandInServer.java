package org.clementinepost.testing;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import org.clementinepost.api.NetworkAddress;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * The listening socket of a stand-in with the connections that it has accepted.
 *
 * <p>It keeps the connections so that it can end as a process does, by cutting them, or let each
 * answer be written first.
 */
public final class StandInServer implements AutoCloseable {
  private static final Duration BIND_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private final ChannelGroup acceptedConnections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final DisposableServer server;

  private StandInServer(HttpServer configured) {
    server = configured.channelGroup(acceptedConnections).bindNow(BIND_TIMEOUT);
  }

  /** Listens on a port; zero takes a free one. */
  public static StandInServer bind(String host, int port, HttpServer configured) {
    return new StandInServer(configured.host(host).port(port));
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return NetworkAddress.parse(server.host() + ":" + server.port());
  }

  /** Closes the socket, and each connection once its answer has been written to the end. */
  public void closeWhenIdle() {
    server.dispose();
    server.onDispose().timeout(STOP_TIMEOUT, Mono.empty()).block();
    close();
  }

  /** Closes the socket and every connection, with the requests on them. */
  @Override
  public void close() {
    acceptedConnections.close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
    server.disposeNow(STOP_TIMEOUT);
  }
}
