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
import org.clementinepost.api.ResponseHead;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LinkMessage;
import org.clementinepost.api.peer.PeerMessage;
import org.clementinepost.api.peer.StreamMessage;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.node.exchange.Answer;
import org.clementinepost.node.exchange.ExchangeMessage;
import org.clementinepost.node.exchange.ExchangeService;
import org.clementinepost.wire.PeerCodec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.test.scheduler.VirtualTimeScheduler;

/** The serving side of a connection, whose node has been told to stop. */
final class StoppingHostConnectionTest {
  private static final ServiceName<ConnectionMessage> CONNECTION =
      ServiceName.of("connection", ConnectionMessage.class);
  private static final Member SELF =
      new Member(
          new NodeId("self"), 1, new NetworkAddress("127.0.0.1", 1), new FailureDomainId("a"));
  private static final BackendServerId SERVER = new BackendServerId("b");
  private static final int MANY_CHUNKS = 100;

  private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();
  private final List<Integer> inHand = new ArrayList<>();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<Reply<Either<Failure, Answer>>> running = new ArrayList<>();
  private final PeerCodec codec = PeerCodec.standard();
  private Address<ConnectionMessage> connection;

  @BeforeEach
  void serve() {
    ServiceDefinition<ExchangeMessage> exchanges =
        new ServiceDefinition<>(
            ExchangeService.NAME,
            100,
            context -> message -> running.add(((ExchangeMessage.Send) message).reply()));
    ServiceDefinition<ConnectionMessage> definition =
        new ServiceDefinition<>(
            CONNECTION,
            100,
            PeerConnection.factory(SELF, false, codec, (from, message) -> {}, task -> wire()));
    Kernel kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .clock(MonotonicClock.of(scheduler))
            .service(exchanges)
            .service(definition)
            .start();
    connection = kernel.find(CONNECTION);
    pass(10_000);
  }

  private FrameTransport wire() {
    return new FrameTransport() {
      @Override
      public void send(byte[] frame) {
        sent.add(codec.decode(frame).get());
      }

      @Override
      public void close() {}
    };
  }

  private void pass(long millis) {
    scheduler.advanceTimeBy(Duration.ofMillis(millis));
  }

  private void hear(PeerMessage message) {
    connection.send(new ConnectionMessage.Frame(Chunk.wrap(codec.encode(message))));
    pass(0);
  }

  private void open(long streamId) {
    RequestHead head =
        new RequestHead(
            new RequestId("r"),
            1,
            Option.none(),
            new ServiceId("s"),
            "GET",
            "/",
            Vector.empty(),
            true,
            Option.none(),
            10_000,
            RequestHead.NO_BODY);
    hear(new StreamMessage.Open(streamId, SERVER, head));
  }

  private void answer(int chunks) {
    ResponseHead head = new ResponseHead(200, Vector.empty(), SERVER, 0);
    Flux<Chunk> body = Flux.range(0, chunks).map(i -> Chunk.wrap(new byte[1]));
    running.get(0).send(Either.right(new Answer(head, body)));
    pass(0);
  }

  private void drain() {
    connection.send(new ConnectionMessage.Drain(inHand::add));
    pass(0);
  }

  private void answerPings() {
    Vector.ofAll(sent)
        .filter(LinkMessage.Ping.class::isInstance)
        .forEach(ping -> hear(new LinkMessage.Pong(((LinkMessage.Ping) ping).sequence())));
  }

  private int nowInHand() {
    return inHand.get(inHand.size() - 1);
  }

  @Test
  void aConnectionThatServesNothingHoldsNothingUp() {
    drain();
    assertThat(inHand).containsExactly(0);
  }

  @Test
  void aRequestAtItsServerIsInHand() {
    open(1);
    drain();
    pass(900);
    assertThat(nowInHand()).isOne();
  }

  @Test
  void anAnswerBehindASlowLinkReachesTheOtherNodeBeforeTheHostGoes() {
    open(1);
    drain();
    answer(1);
    hear(new StreamMessage.Demand(1, 32));
    assertThat(sent).anyMatch(StreamMessage.End.class::isInstance);
    assertThat(nowInHand()).isOne();

    answerPings();

    assertThat(nowInHand()).isZero();
  }

  @Test
  void anAnswerWhoseReaderIsSlowIsInHandUntilItsEnd() {
    open(1);
    drain();
    answer(MANY_CHUNKS);
    hear(new StreamMessage.Demand(1, 32));
    answerPings();
    assertThat(nowInHand()).isOne();

    hear(new StreamMessage.Demand(1, MANY_CHUNKS));
    answerPings();

    assertThat(sent).anyMatch(StreamMessage.End.class::isInstance);
    assertThat(nowInHand()).isZero();
  }

  @Test
  void anAnswerSentJustBeforeTheStopIsInHandUntilItHasArrived() {
    open(1);
    answer(1);
    hear(new StreamMessage.Demand(1, 32));
    drain();
    assertThat(nowInHand()).isOne();

    answerPings();

    assertThat(nowInHand()).isZero();
  }

  @Test
  void anAnswerSentLongBeforeTheStopHoldsNothingUp() {
    open(1);
    answer(1);
    hear(new StreamMessage.Demand(1, 32));
    pass(5_000);
    drain();
    assertThat(inHand).containsExactly(0);
  }
}
