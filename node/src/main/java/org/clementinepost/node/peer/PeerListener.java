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
 * Listens for connections from other nodes.
 *
 * <p>The port is opened before the services start, since a node registers with its port number.
 * Connections that arrive before the peer service is started are closed.
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

  /**
   * Opens the port.
   *
   * @param member creates the member entry of this node from the address with the actual port
   */
  public static PeerListener open(NetworkAddress address, Function<NetworkAddress, Member> member) {
    return new PeerListener(address, member);
  }

  private void accept(Connection connection) {
    TcpTransport.addFraming(connection);
    connectionHandler.get().accept(connection);
  }

  /** Returns this node's member entry, with the address that other nodes dial. */
  public Member self() {
    return self;
  }

  DisposableServer server() {
    return server;
  }

  void setConnectionHandler(Consumer<Connection> handler) {
    connectionHandler.set(handler);
  }
}
