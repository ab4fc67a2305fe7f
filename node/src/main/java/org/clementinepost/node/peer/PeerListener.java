package org.clementinepost.node.peer;

import io.netty.channel.ChannelOption;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpResources;
import reactor.netty.tcp.TcpServer;

/**
 * The open port for other nodes.
 *
 * <p>It is opened before the services start, since a node registers under the port's number.
 * Connections that come before the peer service takes them are closed.
 */
public final class PeerListener {
  private final AtomicReference<Consumer<Connection>> connectionHandler =
      new AtomicReference<>(Connection::dispose);
  private final DisposableServer server;
  private final Member self;

  private PeerListener(NetworkAddress address, Function<NetworkAddress, Member> member) {
    server =
        TcpServer.create()
            .runOn(HttpResources.get())
            .host(address.host())
            .port(address.port())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .handle((inbound, outbound) -> Mono.never())
            .bindNow();
    self = member.apply(new NetworkAddress(address.host(), server.port()));
  }

  /** Opens the port; the node is known to others under the port that was opened. */
  public static PeerListener open(NetworkAddress address, Function<NetworkAddress, Member> member) {
    return new PeerListener(address, member);
  }

  private void accept(Connection connection) {
    TcpTransport.addFraming(connection);
    connectionHandler.get().accept(connection);
  }

  /** This node as the others are to know it. */
  public Member self() {
    return self;
  }

  DisposableServer server() {
    return server;
  }

  void setConnectionHandler(Consumer<Connection> next) {
    connectionHandler.set(next);
  }
}
