package org.clementinepost.node.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LinkMessage;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.node.exchange.Answer;
import org.clementinepost.node.exchange.BodyFailedException;
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

  private static final long REPEATABLE_STREAM = 1;
  private static final long ONCE_ONLY_STREAM = 2;
  private static final int PIECE_BYTES = 8 << 10;
  private static final ResponseHead GOOD =
      new ResponseHead(200, Vector.empty(), new BackendServerId("b"), 0);

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
    hear(new LinkMessage.Pong(1));
  }

  private void hear(PeerMessage message) {
    connection.send(new ConnectionMessage.Frame(Chunk.wrap(codec.encode(message))));
    pass(0);
  }

  private void disconnect() {
    connection.send(new ConnectionMessage.Disconnected());
    pass(0);
  }

  /** The other side answers a stream, and has sent that much of the body. */
  private void hearAnswer(long streamId, int bodyBytes) {
    hear(new StreamMessage.ResponseStart(streamId, GOOD));
    for (int sent = 0; sent < bodyBytes; sent += PIECE_BYTES) {
      byte[] piece = new byte[Math.min(PIECE_BYTES, bodyBytes - sent)];
      hear(new StreamMessage.Data(streamId, Chunk.wrap(piece)));
    }
  }

  private static Mono<Integer> bodyBytes(Answer answer) {
    return answer.body().map(Chunk::length).reduce(0, Integer::sum);
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

  @Test
  void anAnswerWhoseConnectionEndsMidwayIsAFailureAndNoBrokenAnswer() {
    hearAnswer(REPEATABLE_STREAM, 2 * PIECE_BYTES);
    hearAnswer(ONCE_ONLY_STREAM, 2 * PIECE_BYTES);

    disconnect();

    assertThat(codes(repeatable)).containsExactly(ResultCode.PEER_LOST);
    assertThat(codes(onceOnly)).containsExactly(ResultCode.PEER_LOST);
  }

  @Test
  void aConnectionInDoubtGivesBackARepeatableRequestWhoseAnswerIsNotWhole() {
    hearAnswer(REPEATABLE_STREAM, PIECE_BYTES);
    hearAnswer(ONCE_ONLY_STREAM, PIECE_BYTES);

    pass(1_500);

    assertThat(codes(repeatable)).containsExactly(ResultCode.PEER_LOST);
    assertThat(onceOnly).isEmpty();
  }

  @Test
  void anAnswerThatTheOtherSideCannotFinishIsAFailure() {
    hearAnswer(ONCE_ONLY_STREAM, PIECE_BYTES);

    hear(
        new StreamMessage.Failed(ONCE_ONLY_STREAM, Failure.of(ResultCode.BACKEND_ANSWER_LOST, "")));

    assertThat(codes(onceOnly)).containsExactly(ResultCode.BACKEND_ANSWER_LOST);
  }

  @Test
  void anAnswerOfAnotherLengthThanItsEndTellsIsAFailure() {
    hearAnswer(ONCE_ONLY_STREAM, PIECE_BYTES);

    hear(new StreamMessage.End(ONCE_ONLY_STREAM, PIECE_BYTES + 1));

    assertThat(codes(onceOnly)).containsExactly(ResultCode.PEER_PROTOCOL);
  }

  @Test
  void anAnswerThatHasComeWholeOutlivesItsConnection() {
    hearAnswer(ONCE_ONLY_STREAM, 30_000);
    hear(new StreamMessage.End(ONCE_ONLY_STREAM, 30_000));
    disconnect();

    assertThat(onceOnly).singleElement().matches(Either::isRight);
    assertThat(bodyBytes(onceOnly.get(0).get()).block()).isEqualTo(30_000);
  }

  @Test
  void aLongAnswerIsPassedOnWhileItComes() {
    int longBytes = 4 << 20;
    hearAnswer(ONCE_ONLY_STREAM, longBytes);
    assertThat(onceOnly).singleElement().matches(Either::isRight);

    hear(new StreamMessage.End(ONCE_ONLY_STREAM, longBytes));

    assertThat(bodyBytes(onceOnly.get(0).get()).block()).isEqualTo(longBytes);
  }

  @Test
  void aLongAnswerThatBreaksOffDoesNotLookWhole() {
    hearAnswer(ONCE_ONLY_STREAM, 4 << 20);

    disconnect();

    assertThatThrownBy(() -> bodyBytes(onceOnly.get(0).get()).block())
        .isInstanceOf(BodyFailedException.class);
  }

  @Test
  void anAnswerThatBeginsRightBeforeItsDeadlineIsPassedOnWhileItComes() {
    for (int second = 0; second < 9; second++) {
      pass(1_000);
      hear();
    }
    pass(950);
    hear();
    hearAnswer(ONCE_ONLY_STREAM, PIECE_BYTES);
    assertThat(onceOnly).singleElement().matches(Either::isRight);

    pass(100);
    hear(new StreamMessage.End(ONCE_ONLY_STREAM, PIECE_BYTES));

    assertThat(bodyBytes(onceOnly.get(0).get()).block()).isEqualTo(PIECE_BYTES);
  }
}
