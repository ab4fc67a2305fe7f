package org.clementinepost.benchmarks.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.RequestOptions;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.peer.LoadPeerMessage;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.Announcement;
import org.clementinepost.policy.host.HostEffect;
import org.clementinepost.policy.host.HostEvent;
import org.clementinepost.policy.host.HostPolicy;
import org.clementinepost.policy.host.HostState;
import org.clementinepost.policy.host.QueueDiscipline;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the decisions of a host with a fair queue while 100 requests are waiting. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class HostQueueBenchmark {
  private static final BackendServerId SERVER = new BackendServerId("s-1");
  private static final ServiceId SERVICE = new ServiceId("payments");
  private static final int SLOTS = 9;
  private static final int WAITING = 100;
  private static final int CUSTOMERS = 72;
  private static final int PRIORITIES = 3;
  private static final long START_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long RUN_MICROS = TimeUnit.MILLISECONDS.toMicros(200);

  private final HostPolicy policy =
      new HostPolicy(new FailureDomainId("a"), QueueDiscipline.fair());
  private HostState state = HostState.empty();

  /** Fills the slots and the queue. */
  @Setup
  public void fillQueue() {
    Announcement announcement =
        new Announcement(
            SERVER,
            SERVICE,
            new NetworkAddress("127.0.0.1", 80),
            SLOTS,
            SLOTS,
            Announcement.State.SERVING,
            0,
            0,
            0,
            Option.none());
    apply(new HostEvent.Announced(announcement, START_NANOS));
    apply(admit(0));
    apply(ended(1));
    for (int i = 0; i < SLOTS + WAITING; i++) {
      apply(admit(i));
    }
    if (state.waiting().size() != WAITING) {
      throw new IllegalStateException(state.waiting().size() + " requests are waiting");
    }
  }

  private void apply(HostEvent event) {
    state = policy.decide(state, event).state();
  }

  private static HostEvent.Admit admit(int number) {
    RequestHead head =
        new RequestHead(
            new RequestId("r" + number),
            1,
            Option.some(new CustomerId("c" + number % CUSTOMERS)),
            SERVICE,
            "GET",
            "/",
            Vector.empty(),
            true,
            Option.none(),
            60_000,
            RequestHead.NO_BODY,
            new RequestOptions(
                number % PRIORITIES, 1_000, 2, Option.none(), AdmissionMode.WAIT_FOR_SLOT));
    return new HostEvent.Admit(SERVER, head, START_NANOS + number, Reply.ignored());
  }

  private static HostEvent.RequestEnded ended(long admission) {
    return new HostEvent.RequestEnded(
        admission, Option.none(), 200, RUN_MICROS, START_NANOS + WAITING);
  }

  /** A request asks for admission and waits. */
  @Benchmark
  public Step<HostState, HostEffect> admitRequest() {
    return policy.decide(state, admit(WAITING));
  }

  /** A run ends and the most urgent request is admitted. */
  @Benchmark
  public Step<HostState, HostEffect> endRun() {
    return policy.decide(state, ended(2));
  }

  /** An ingress node queries the load. */
  @Benchmark
  public Step<HostState, HostEffect> reportLoad() {
    LoadPeerMessage.Query query = new LoadPeerMessage.Query(1, SERVER, true, false, true, 1, 1_000);
    return policy.decide(
        state, new HostEvent.ReportLoad(query, START_NANOS + WAITING, Reply.ignored()));
  }
}
