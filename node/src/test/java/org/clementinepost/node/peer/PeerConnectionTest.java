package org.clementinepost.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LinkMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.node.exchange.Answer;
import org.clementinepost.wire.PeerCodec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The opener's side of a connection, whose other side answers only when told to. */
final class PeerConnectionTest {
  private static final ServiceName<ConnectionMessage> CONNECTION =
      ServiceName.of("connection", ConnectionMessage.class);
  private static final Member SELF =
      new Member(
          new NodeId("self"), 1, new NetworkAddress("127.0.0.1", 1), new FailureDomainId("a"));

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<PeerServiceMessage> told = new ArrayList<>();
  private final List<Either<Failure, Answer>> repeatable = new ArrayList<>();
  private final List<Either<Failure, Answer>> onceOnly = new ArrayList<>();
  private final PeerCodec codec = PeerCodec.standard();
  private Address<ConnectionMessage> connection;

  @BeforeEach
  void connect() {
    ServiceDefinition<PeerServiceMessage> owner =
        new ServiceDefinition<>(PeerService.NAME, 100, context -> told::add);
    ServiceDefinition<ConnectionMessage> definition =
        new ServiceDefinition<>(
            CONNECTION,
            100,
            PeerConnection.factory(SELF, true, codec, (from, message) -> {}, task -> deaf()));
    Kernel kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .clock(MonotonicClock.of(scheduler))
            .service(owner)
            .service(definition)
            .start();
    connection = kernel.find(CONNECTION);
    open(true, repeatable);
    open(false, onceOnly);
  }

  private static FrameTransport deaf() {
    return new FrameTransport() {
      @Override
      public void send(byte[] frame) {}

      @Override
      public void close() {}
    };
  }

  private void open(boolean idempotent, List<Either<Failure, Answer>> answers) {
    RequestHead head =
        new RequestHead(
            new RequestId("r"),
            1,
            Option.none(),
            new ServiceId("s"),
            "GET",
            "/",
            Vector.empty(),
            idempotent,
            Option.none(),
            10_000,
            RequestHead.NO_BODY);
    connection.send(
        new ConnectionMessage.Open(
            new BackendServerId("b"), head, Flux.empty(), Mono.never(), answers::add));
    pass(0);
  }

  private void pass(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void hear() {
    connection.send(
        new ConnectionMessage.Frame(Chunk.owning(codec.encode(new LinkMessage.Pong(1)))));
    pass(0);
  }

  private static Vector<ResultCode> codes(List<Either<Failure, Answer>> answers) {
    return Vector.ofAll(answers).map(answer -> answer.getLeft().code());
  }

  private boolean wasTold(Class<? extends PeerServiceMessage> kind) {
    return told.stream().anyMatch(kind::isInstance);
  }

  @Test
  void aConnectionOnWhichNothingComesGivesBackWhatCanBeRepeated() {
    pass(1_500);

    assertThat(codes(repeatable)).containsExactly(ResultCode.PEER_LOST);
    assertThat(onceOnly).isEmpty();
    assertThat(wasTold(PeerServiceMessage.Doubted.class)).isTrue();
  }

  @Test
  void aRequestThatCannotBeRepeatedIsGivenUpLater() {
    pass(2_900);
    assertThat(onceOnly).isEmpty();

    pass(600);

    assertThat(codes(onceOnly)).containsExactly(ResultCode.PEER_LOST);
    assertThat(wasTold(PeerServiceMessage.Ended.class)).isTrue();
  }

  @Test
  void aConnectionThatIsHeardFallsIntoNoDoubt() {
    for (int i = 0; i < 10; i++) {
      pass(900);
      hear();
    }

    assertThat(wasTold(PeerServiceMessage.Doubted.class)).isFalse();
    assertThat(repeatable).isEmpty();
  }
}
