package reviewkit;

import java.util.List;

/** A zone is evacuated and taken back; its backend is cold when it is taken back. */
public final class ReturnedZoneCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 10;
  private static final int REQUESTS_PER_SECOND = 250;
  private static final long EVACUATED_MILLIS = 8_000;
  private static final long COLD_MILLIS = 3_000;

  /** The bound of the rule: coldPerS x coldOvershoot + coldSlack. */
  private static final double MAX_COLD_REQUESTS_PER_SECOND = 51 * 1.5 + 5;

  private volatile boolean loadStopped;

  public static void main(String[] arguments) throws Exception {
    new ReturnedZoneCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office")));
    Node front = startNode("front", "a", "desk");
    Node office = startNode("office", "b", "office");
    startBackend(front, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    Backend server = startBackend(office, "i-office-1", "office", "b", SLOTS, WORK_MILLIS);
    server.startHeartbeats();
    await("the server in the table of nodes", 30_000,
        () -> store.value("nodes", "office").contains("i-office-1"));
    await("an answer", 20_000,
        () -> request(front, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    load(front, Configurations.HOST, "/read/office/x", REQUESTS_PER_SECOND, () -> loadStopped);
    pause(3_000);
    store.put("op", "evacuate/b", "{}");
    pause(EVACUATED_MILLIS);
    int heartbeats = server.acknowledgedHeartbeats();
    await("a heartbeat", 5_000, () -> server.acknowledgedHeartbeats() > heartbeats);
    if (trouble) {
      server.turnCold(COLD_MILLIS);
    }
    long fromNanos = System.nanoTime();
    store.remove("op", "evacuate/b");
    pause(COLD_MILLIS);
    long toNanos = System.nanoTime();
    loadStopped = true;
    int most = server.mostRunsInOneSecond(fromNanos, toNanos);
    record.report(
        "most requests in one second at the server after its zone was taken back: %d,"
            + " bound of a cold one %.1f",
        most, MAX_COLD_REQUESTS_PER_SECOND);
    return !trouble || most <= MAX_COLD_REQUESTS_PER_SECOND;
  }
}
