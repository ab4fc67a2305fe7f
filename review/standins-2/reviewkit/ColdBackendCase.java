package reviewkit;

import java.util.List;

/**
 * A node is restarted while the store is down, and the backend beside it turns cold again. The
 * other node keeps sending it requests.
 */
public final class ColdBackendCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 10;
  private static final int REQUESTS_PER_SECOND = 250;
  private static final long COLD_MILLIS = 6_000;

  /** The bound of the rule: coldPerS x coldOvershoot + coldSlack. */
  private static final double MAX_COLD_REQUESTS_PER_SECOND = 51 * 1.5 + 5;

  private volatile boolean loadStopped;

  public static void main(String[] arguments) throws Exception {
    new ColdBackendCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office")));
    Node front = startNode("front", "a", "desk");
    Node first = startNode("first", "a", "office");
    startBackend(front, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    Backend cold = startBackend(first, "i-office-1", "office", "a", SLOTS, WORK_MILLIS);
    cold.startHeartbeats();
    await("the server in the table of nodes", 30_000,
        () -> store.value("nodes", "first").contains("i-office-1"));
    await("an answer", 20_000,
        () -> request(front, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    load(front, Configurations.HOST, "/read/office/x", REQUESTS_PER_SECOND, () -> loadStopped);
    pause(4_000);
    if (trouble) {
      store.setDown(true);
      pause(500);
      first.signal("TERM");
      if (first.awaitEnd(8_000) < 0) {
        throw new CouldNotRunException("the node has not stopped");
      }
      first.start();
      int before = cold.runs().size();
      await("requests at the server again", 20_000, () -> cold.runs().size() > before + 100);
    }
    cold.turnCold(COLD_MILLIS);
    if (!cold.sendHeartbeat()) {
      throw new CouldNotRunException("the heartbeat of the cold server was not acknowledged");
    }
    long fromNanos = System.nanoTime();
    pause(COLD_MILLIS - 500);
    long toNanos = System.nanoTime();
    loadStopped = true;
    int most = cold.mostRunsInOneSecond(fromNanos, toNanos);
    record.report(
        "most requests in one second at the cold server, after it had said so: %d, bound %.1f",
        most, MAX_COLD_REQUESTS_PER_SECOND);
    return most <= MAX_COLD_REQUESTS_PER_SECOND;
  }
}
