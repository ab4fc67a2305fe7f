package org.clementinepost.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.clementinepost.testing.rows.HeartbeatBackendStandIn;
import org.clementinepost.testing.rows.OpenRoutes;
import org.clementinepost.testing.rows.RowStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.http.HttpResources;
import reactor.netty.resources.LoopResources;

/** Checks that what a kept connection holds does not grow with the requests that it has served. */
final class KeptConnectionTest {
  private static final int OK = 200;
  private static final int FIRST_REQUESTS = 20;
  private static final int FURTHER_REQUESTS = 400;

  private static final RecordingLoops LOOPS = new RecordingLoops();

  private final RowStoreStandIn store;
  private final Node first;
  private final Node second;
  private HeartbeatBackendStandIn localServer;
  private HeartbeatBackendStandIn remoteServer;

  KeptConnectionTest() {
    HttpResources.set(LOOPS);
    store = RowStoreStandIn.start();
    first = RowStoreNodes.start(store, "first", "near");
    second = RowStoreNodes.start(store, "second", "near");
  }

  @BeforeEach
  void startServersAndAwaitRoutes() {
    store.put("op", "config", OpenRoutes.configuration("near", "far"));
    localServer =
        HeartbeatBackendStandIn.start("i-near", "near", RowStoreNodes.announceAddress(first));
    remoteServer =
        HeartbeatBackendStandIn.start("i-far", "far", RowStoreNodes.announceAddress(second));
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, "/near/x") == OK);
    RowStoreNodes.await(() -> RowStoreNodes.statusOf(first, "/far/x") == OK);
  }

  @AfterEach
  void close() {
    localServer.close();
    remoteServer.close();
    first.stop();
    second.stop();
    store.close();
  }

  private void sendRequests(int count) {
    for (int i = 0; i < count; i++) {
      assertThat(RowStoreNodes.statusOf(first, "/near/x")).isEqualTo(OK);
      assertThat(RowStoreNodes.statusOf(first, "/far/x")).isEqualTo(OK);
    }
  }

  /** Returns the length of the longest pipeline of all connections that this process opened. */
  private static int longestPipeline() {
    return LOOPS.openedChannels.stream()
        .filter(Channel::isActive)
        .mapToInt(channel -> channel.pipeline().names().size())
        .max()
        .orElse(0);
  }

  /** Guards against a handler added at each use of a connection, which overflowed the stack. */
  @Test
  void connectionsHoldNoMoreHandlersAfterHundredsOfRequests() {
    sendRequests(FIRST_REQUESTS);
    int longestBefore = longestPipeline();

    sendRequests(FURTHER_REQUESTS);

    assertThat(longestPipeline()).isLessThanOrEqualTo(longestBefore);
  }

  /** Event loops that record the connections opened to servers. */
  private static final class RecordingLoops implements LoopResources {
    private final LoopResources delegate = LoopResources.create("kept-connection-test");
    private final Queue<Channel> openedChannels = new ConcurrentLinkedQueue<>();

    @Override
    public <T extends Channel> T onChannel(Class<T> type, EventLoopGroup group) {
      T channel = delegate.onChannel(type, group);
      openedChannels.add(channel);
      return channel;
    }

    @Override
    public <T extends Channel> Class<? extends T> onChannelClass(
        Class<T> type, EventLoopGroup group) {
      return delegate.onChannelClass(type, group);
    }

    @Override
    public EventLoopGroup onClient(boolean useNative) {
      return delegate.onClient(useNative);
    }

    @Override
    public EventLoopGroup onServer(boolean useNative) {
      return delegate.onServer(useNative);
    }

    @Override
    public EventLoopGroup onServerSelect(boolean useNative) {
      return delegate.onServerSelect(useNative);
    }
  }
}
