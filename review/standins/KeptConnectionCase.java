import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends many times its usual, and many users come at once, in series. A node that says that it is ready must serve new
 * connections, and each request must get an answer by half a second after the time-out of its route.
 */
final class KeptConnectionCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int MACHINES = 3;
  private static final int WORK_MILLIS = 5;
  private static final int USUAL_PER_10_SECONDS = 18;
  private static final double HOT_TIMES = 7.5;
  private static final int HOT_MILLIS = 6_500;
  private static final double BURST_TIMES = 1.7;
  private static final int BURST_MILLIS = 3_000;
  private static final int BURST_PAUSE_MILLIS = 250;
  private static final int PAUSE_MILLIS = 500;
  private static final int TRAFFIC_MILLIS = 88_000;
  private static final int ROUTE_TIMEOUT_MILLIS = 2_500;
  private static final int ANSWER_SLACK_MILLIS = 500;
  private static final int CLIENT_MILLIS = 5_000;

  /** Fewer requests without an answer in time don't count. */
  private static final int MANY = 8;

  private static final int CONTACT_MILLIS = 3_000;
  private static final int CLIENTS_THAT_TRY = 7;

  /** A request, which opens a connection of its own; answered if any byte of an answer came. */
  private record Try(String machine, long atMillis, boolean answered) {}

  /** A question whether a node is ready. */
  private record Look(String machine, long atMillis, boolean ready) {}

  private KeptConnectionCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, KeptConnectionCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    AtomicInteger runs = new AtomicInteger();
    Backend.Listener listener =
        (backend, method, target, headers) -> {
          runs.incrementAndGet();
          record.line("run attempt=%s at=%s", headers.get("attempt-id"), backend.id);
        };
    String[] zones = {"kgn-a", "kgn-b", "spn-c"};
    List<Deployment.Machine> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(deployment.machine("sidecar-" + zones[i], zones[i], "desk"));
    }
    deployment.store.put(
        "op",
        "config",
        new Configuration()
            .service("desk")
            .route("r-desk", "/desk/", "unsafe", "desk")
            .tenant("bozi300", KEY, 0, 0)
            .text(7));
    deployment.startAll();
    for (int i = 0; i < MACHINES; i++) {
      Deployment.Machine machine = machines.get(i);
      new Backend(
          "i-" + zones[i],
          "desk",
          machine.backendPort,
          zones[i],
          5,
          WORK_MILLIS,
          machine.control,
          listener);
    }
    Thread.sleep(4_000);

    ExecutorService clients = Executors.newCachedThreadPool();
    AtomicInteger stillUnanswered = new AtomicInteger();
    AtomicInteger neverAnswered = new AtomicInteger();
    Map<Integer, Integer> answers = new ConcurrentHashMap<>();
    List<Try> tries = new CopyOnWriteArrayList<>();
    List<Look> looks = new CopyOnWriteArrayList<>();
    for (Deployment.Machine machine : machines) {
      clients.submit(() -> askIfReady(machine, record, looks));
    }
    long startNanos = System.nanoTime();
    long nextNanos = startNanos;
    int sent = 0;
    boolean hotBefore = false;
    while (System.nanoTime() - startNanos < TRAFFIC_MILLIS * 1_000_000L) {
      long passedMillis = (System.nanoTime() - startNanos) / 1_000_000L;
      long inSeriesMillis = passedMillis % (HOT_MILLIS + PAUSE_MILLIS);
      boolean hot = trouble && inSeriesMillis < HOT_MILLIS;
      boolean burst = hot && inSeriesMillis % (BURST_MILLIS + BURST_PAUSE_MILLIS) < BURST_MILLIS;
      double times = (hot ? HOT_TIMES : 1.0) * (burst ? BURST_TIMES : 1.0);
      if (hot != hotBefore) {
        record.line(
            hot ? "tenant sends %.1f times its usual, %.1f times that in bursts" : "usual traffic",
            HOT_TIMES, BURST_TIMES);
        hotBefore = hot;
      }
      for (Deployment.Machine machine : machines) {
        String attempt = "a-" + sent++;
        clients.submit(
            () -> {
              long atMillis = record.millis();
              boolean answered =
                  send(machine, record, attempt, answers, stillUnanswered, neverAnswered);
              tries.add(new Try(machine.name, atMillis, answered));
            });
      }
      nextNanos += Math.round(10_000_000_000L / (USUAL_PER_10_SECONDS * times));
      sleepUntil(nextNanos);
    }
    Thread.sleep(CLIENT_MILLIS + 500);
    clients.shutdownNow();
    record.line("%d requests sent, %d run, answers by status: %s", sent, runs.get(), answers);
    record.line(
        "%d requests unanswered at the route's time-out, %d of them also %d ms later",
        stillUnanswered.get(), neverAnswered.get(), ANSWER_SLACK_MILLIS);
    if (runs.get() == 0) {
      throw new IllegalStateException("no request ran");
    }
    boolean takesNone = false;
    for (Deployment.Machine machine : machines) {
      long millis = longestWithoutService(machine.name, tries, looks);
      record.line(
          "node %s: process alive=%s, ready=%s, longest time ready and serving no new connection: %d ms",
          machine.name, machine.process.isAlive(), machine.isReady(), millis);
      takesNone |= millis >= CONTACT_MILLIS;
    }
    boolean unanswered =
        stillUnanswered.get() >= MANY && neverAnswered.get() * 2 > stillUnanswered.get();
    record.line("RECOVER broken=%s, CONFIG broken=%s", takesNone, unanswered);
    return takesNone && unanswered;
  }

  private static Object askIfReady(Deployment.Machine machine, RunRecord record, List<Look> looks)
      throws InterruptedException {
    while (true) {
      looks.add(new Look(machine.name, record.millis(), machine.isReady()));
      Thread.sleep(1_000);
    }
  }

  /**
   * Returns the longest time in which a node was ready at each question, and seven clients or more
   * opened connections of which none was served.
   */
  private static long longestWithoutService(String machine, List<Try> tries, List<Look> looks) {
    List<Try> own = new ArrayList<>(tries.stream().filter(t -> t.machine().equals(machine)).toList());
    own.sort(Comparator.comparingLong(Try::atMillis));
    long longest = 0;
    int first = 0;
    for (int i = 0; i < own.size(); i++) {
      if (own.get(i).answered()) {
        first = i + 1;
        continue;
      }
      long from = own.get(first).atMillis();
      long to = own.get(i).atMillis();
      boolean ready =
          looks.stream()
              .filter(look -> look.machine().equals(machine))
              .filter(look -> look.atMillis() >= from && look.atMillis() <= to)
              .allMatch(Look::ready);
      if (ready && i - first + 1 >= CLIENTS_THAT_TRY) {
        longest = Math.max(longest, to - from);
      }
    }
    return longest;
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long millis = (nanos - System.nanoTime()) / 1_000_000L;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  private static boolean send(
      Deployment.Machine machine,
      RunRecord record,
      String attempt,
      Map<Integer, Integer> answers,
      AtomicInteger stillUnanswered,
      AtomicInteger neverAnswered) {
    long startNanos = System.nanoTime();
    String end;
    boolean answered = false;
    try {
      HttpCall.Response response =
          new HttpCall("POST", "/desk/x")
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", Integer.toString(CLIENT_MILLIS))
              .header("Authorization", "Bearer " + KEY)
              .body("a booking")
              .send(machine.ingress, CLIENT_MILLIS);
      answers.merge(response.status(), 1, Integer::sum);
      end = "answered " + response.status();
      answered = true;
    } catch (Exception e) {
      end = "not answered: " + e;
    }
    long tookMillis = (System.nanoTime() - startNanos) / 1_000_000L;
    if (tookMillis > ROUTE_TIMEOUT_MILLIS) {
      stillUnanswered.incrementAndGet();
    }
    if (tookMillis > ROUTE_TIMEOUT_MILLIS + ANSWER_SLACK_MILLIS) {
      neverAnswered.incrementAndGet();
    }
    record.line("sent attempt=%s at=%s %s after %d ms", attempt, machine.name, end, tookMillis);
    return answered;
  }
}
