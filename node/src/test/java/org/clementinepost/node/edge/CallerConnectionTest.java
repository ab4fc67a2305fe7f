package org.clementinepost.node.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.netty.NettyPipeline;

final class CallerConnectionTest {
  private static final int MAX_UNCHANGED_CHECKS = 3;

  private final AtomicBoolean stoppedAccepting = new AtomicBoolean();
  private final AtomicInteger disconnects = new AtomicInteger();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void attach() {
    channel.pipeline().addLast(NettyPipeline.HttpCodec, new ChannelDuplexHandler());
    CallerConnection.attach(
        channel, MAX_UNCHANGED_CHECKS, stoppedAccepting::get, disconnects::incrementAndGet);
  }

  private void receiveRequest() {
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  private void stopAccepting() {
    stoppedAccepting.set(true);
    CallerConnection.closeWhenIdle(channel);
    channel.runPendingTasks();
  }

  @Test
  void closesIdleConnectionWhenNodeStopsAccepting() {
    stopAccepting();
    assertThat(channel.isOpen()).isFalse();
    assertThat(disconnects).hasValue(1);
  }

  @Test
  void keepsConnectionOpenUntilLastByteOfResponse() {
    receiveRequest();
    stopAccepting();
    channel.writeOutbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);

    assertThat(channel.isOpen()).isFalse();
    assertThat(disconnects).hasValue(1);
  }

  @Test
  void countsResponseAsInFlightUntilWrittenToSocket() {
    receiveRequest();
    stopAccepting();
    channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.flush();

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void interimResponseDoesNotEndRequest() {
    receiveRequest();
    stopAccepting();
    channel.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void keepsConnectionOpenUntilPipelinedRequestIsAnswered() {
    receiveRequest();
    receiveRequest();
    stopAccepting();
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE));

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void keepsIdleConnectionOpenWhileNodeAccepts() {
    receiveRequest();
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();
    assertThat(disconnects).hasValue(0);
  }

  private void check(int times) {
    for (int i = 0; i < times; i++) {
      CallerConnection.check(channel);
      channel.runPendingTasks();
    }
  }

  /** Guards against sockets that stay open after their callers have closed them unnoticed. */
  @Test
  void closesConnectionOnWhichNothingHappens() {
    receiveRequest();
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    check(1 + MAX_UNCHANGED_CHECKS);
    assertThat(channel.isOpen()).isTrue();

    check(1);

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void requestsKeepConnectionOpen() {
    for (int i = 0; i < 3; i++) {
      receiveRequest();
      channel.writeOutbound(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
      check(MAX_UNCHANGED_CHECKS);
    }
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void keepsConnectionOpenWhileRequestWaitsForItsResponse() {
    receiveRequest();
    check(10 * MAX_UNCHANGED_CHECKS);
    assertThat(channel.isOpen()).isTrue();
    assertThat(CallerConnection.of(channel).exists(CallerConnection::isStalled)).isTrue();
  }
}
