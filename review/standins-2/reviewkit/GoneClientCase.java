package reviewkit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients of a busy service leave while their bookings wait for a slot. */
public final class GoneClientCase extends Case {
  private static final int SERVERS = 5;
  private static final int SLOTS = 4;
  private static final long WORK_MILLIS = 500;

  /** The service can run 40 a second. */
  private static final int REQUESTS_PER_SECOND = 60;

  private static final int LOAD_SECONDS = 12;
  private static final int DEADLINE_MILLIS = 4_000;

  /** Clients leave within half of the target latency, which is 2 s. */
  private static final int MIN_PATIENCE_MILLIS = 100;

  private static final int MAX_PATIENCE_MILLIS = 1_000;
  private static final double LEAVING_SHARE = 0.3;
  private static final int LEAVING_FROM_SECOND = 4;
  private static final int LEAVING_TO_SECOND = 9;
  private static final long GRACE_MILLIS = 500;

  /** More than a few. */
  private static final int MAX_LATE_ARRIVALS = 5;

  private final Map<String, Long> closedNanos = new ConcurrentHashMap<>();
  private final AtomicInteger served = new AtomicInteger();
  private final ExecutorService clients = Executors.newCachedThreadPool();

  public static void main(String[] arguments) throws Exception {
    new GoneClientCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office")));
    Node front = startNode("front", "a", "desk");
    startBackend(front, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    List<Backend> offices = new ArrayList<>();
    for (int i = 1; i <= SERVERS; i++) {
      Node node = startNode("office-" + i, "a", "office");
      offices.add(startBackend(node, "i-office-" + i, "office", "a", SLOTS, WORK_MILLIS));
    }
    offices.forEach(Backend::startHeartbeats);
    await("all servers in the table of nodes", 30_000, this::areServersKnown);
    await("an answer", 20_000,
        () -> request(front, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    sendBookings(front);
    pause(DEADLINE_MILLIS + 1_000);
    int late = 0;
    for (Backend office : offices) {
      late += countLateArrivals(office);
    }
    record.report(
        "bookings sent: %d, served: %d, clients that left: %d;"
            + " bookings that reached a backend over 0.5 s after their client had left: %d",
        LOAD_SECONDS * REQUESTS_PER_SECOND, served.get(), closedNanos.size(), late);
    return late <= MAX_LATE_ARRIVALS;
  }

  private boolean areServersKnown() {
    for (int i = 1; i <= SERVERS; i++) {
      if (!store.value("nodes", "office-" + i).contains("i-office-" + i)) {
        return false;
      }
    }
    return true;
  }

  private void sendBookings(Node node) {
    Random random = new Random(1);
    for (int i = 0; i < LOAD_SECONDS * REQUESTS_PER_SECOND; i++) {
      int second = i / REQUESTS_PER_SECOND;
      boolean leaves =
          random.nextDouble() < LEAVING_SHARE
              && second >= LEAVING_FROM_SECOND
              && second < LEAVING_TO_SECOND;
      int patienceMillis =
          MIN_PATIENCE_MILLIS + random.nextInt(MAX_PATIENCE_MILLIS - MIN_PATIENCE_MILLIS);
      String attempt = "booking-" + i;
      clients.execute(
          () -> book(node, attempt, trouble && leaves ? patienceMillis : DEADLINE_MILLIS));
      pause(1_000 / REQUESTS_PER_SECOND);
    }
  }

  private void book(Node node, String attempt, int patienceMillis) {
    record.write("client sends %s, waits for %d ms at most", attempt, patienceMillis);
    Http.Response response =
        Http.send(
            node.ingress(),
            "POST",
            "/book/office/x",
            Map.of(
                "Host", Configurations.HOST,
                "Attempt-Id", attempt,
                "Deadline-Ms", String.valueOf(DEADLINE_MILLIS)),
            "body",
            patienceMillis);
    if (response.status() == 0 && patienceMillis < DEADLINE_MILLIS) {
      closedNanos.put(attempt, System.nanoTime());
    }
    if (response.status() == 200) {
      served.incrementAndGet();
    }
    record.write("client gets %s %d %s", attempt, response.status(), response.body());
  }

  private int countLateArrivals(Backend backend) {
    int late = 0;
    for (Map.Entry<String, Long> arrival : backend.arrivals().entrySet()) {
      Long closed = closedNanos.get(arrival.getKey());
      if (closed == null || arrival.getValue() < closed) {
        continue;
      }
      long millis = TimeUnit.NANOSECONDS.toMillis(arrival.getValue() - closed);
      record.write("%s reaches a backend %d ms after its client left", arrival.getKey(), millis);
      late += millis > GRACE_MILLIS ? 1 : 0;
    }
    return late;
  }
}
