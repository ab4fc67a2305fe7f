import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends many times its usual, in series. Each request must get an answer by half a second
 * after the time-out of its route.
 */
final class KeptConnectionCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int MACHINES = 3;
  private static final int WORK_MILLIS = 20;
  private static final int USUAL_PER_10_SECONDS = 18;
  private static final double HOT_TIMES = 7.5;
  private static final int HOT_MILLIS = 6_500;
  private static final int PAUSE_MILLIS = 500;
  private static final int TRAFFIC_MILLIS = 90_000;
  private static final int ROUTE_TIMEOUT_MILLIS = 2_500;
  private static final int ANSWER_SLACK_MILLIS = 500;
  private static final int CLIENT_MILLIS = 5_000;

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
    long startNanos = System.nanoTime();
    long nextNanos = startNanos;
    int sent = 0;
    boolean hotBefore = false;
    while (System.nanoTime() - startNanos < TRAFFIC_MILLIS * 1_000_000L) {
      long atMillis = (System.nanoTime() - startNanos) / 1_000_000L;
      boolean hot = trouble && atMillis % (HOT_MILLIS + PAUSE_MILLIS) < HOT_MILLIS;
      if (hot != hotBefore) {
        record.line(hot ? "tenant sends %.1f times its usual" : "tenant sends its usual", HOT_TIMES);
        hotBefore = hot;
      }
      for (Deployment.Machine machine : machines) {
        String attempt = "a-" + sent++;
        clients.submit(
            () -> send(machine, record, attempt, answers, stillUnanswered, neverAnswered));
      }
      nextNanos +=
          Math.round(10_000_000_000L / (USUAL_PER_10_SECONDS * (hot ? HOT_TIMES : 1.0)));
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
    return stillUnanswered.get() > 0 && neverAnswered.get() * 2 > stillUnanswered.get();
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long millis = (nanos - System.nanoTime()) / 1_000_000L;
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  private static void send(
      Deployment.Machine machine,
      RunRecord record,
      String attempt,
      Map<Integer, Integer> answers,
      AtomicInteger stillUnanswered,
      AtomicInteger neverAnswered) {
    long startNanos = System.nanoTime();
    String end;
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
  }
}
