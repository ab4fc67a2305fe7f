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
 * The listening socket of a stand-in and the connections accepted on it.
 *
 * <p>It tracks the connections so that it can either close them immediately, as the end of a
 * process does, or wait until the responses have been written.
 */
public final class StandInServer implements AutoCloseable {
  private static final Duration BIND_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private final ChannelGroup acceptedConnections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final DisposableServer server;

  private StandInServer(HttpServer httpServer) {
    server = httpServer.channelGroup(acceptedConnections).bindNow(BIND_TIMEOUT);
  }

  /** Listens on a port; 0 selects a free port. */
  public static StandInServer bind(String host, int port, HttpServer httpServer) {
    return new StandInServer(httpServer.host(host).port(port));
  }

  /** Returns the address that the server listens on. */
  public NetworkAddress address() {
    return NetworkAddress.parse(server.host() + ":" + server.port());
  }

  /** Closes the socket, and each connection once its response has been written completely. */
  public void closeWhenIdle() {
    server.dispose();
    server.onDispose().timeout(STOP_TIMEOUT, Mono.empty()).block();
    close();
  }

  /** Closes the socket and all connections immediately; requests in flight fail. */
  @Override
  public void close() {
    acceptedConnections.close().awaitUninterruptibly(STOP_TIMEOUT.toMillis());
    server.disposeNow(STOP_TIMEOUT);
  }
}
