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
  private final AtomicBoolean finishing = new AtomicBoolean();
  private final AtomicInteger left = new AtomicInteger();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void attach() {
    channel.pipeline().addLast(NettyPipeline.HttpCodec, new ChannelDuplexHandler());
    CallerConnection.attach(channel, finishing::get, left::incrementAndGet);
  }

  private void request() {
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  private void finish() {
    finishing.set(true);
    CallerConnection.finish(channel);
    channel.runPendingTasks();
  }

  @Test
  void aConnectionWithoutARequestIsClosedWhenTheNodeFinishes() {
    finish();
    assertThat(channel.isOpen()).isFalse();
    assertThat(left).hasValue(1);
  }

  @Test
  void aConnectionStaysOpenUntilTheLastByteOfItsAnswer() {
    request();
    finish();
    channel.writeOutbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.writeOutbound(LastHttpContent.EMPTY_LAST_CONTENT);

    assertThat(channel.isOpen()).isFalse();
    assertThat(left).hasValue(1);
  }

  @Test
  void anAnswerThatTheSocketHasNotTakenYetIsInHand() {
    request();
    finish();
    channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.flush();

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void anInterimAnswerEndsNoRequest() {
    request();
    finish();
    channel.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    assertThat(channel.isOpen()).isTrue();
  }

  @Test
  void aSecondRequestOfAConnectionIsAnsweredToo() {
    request();
    request();
    finish();
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();

    channel.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE));

    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void aNodeThatIsNotFinishingClosesNothing() {
    request();
    channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(channel.isOpen()).isTrue();
    assertThat(left).hasValue(0);
  }
}
