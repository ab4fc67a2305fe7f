package reviewkit;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A backend deregisters and its node is restarted as planned; then a heartbeat from before arrives
 * late.
 */
public final class LeftBackendCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 50;
  private static final int REQUESTS_PER_SECOND = 20;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long CONTACT_MILLIS = 3_000;

  private volatile boolean loadStopped;

  public static void main(String[] arguments) throws Exception {
    new LeftBackendCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office")));
    Node front = startNode("front", "a", "desk");
    Node first = startNode("first", "a", "office");
    Node second = startNode("second", "a", "office");
    startBackend(front, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    Backend left = startBackend(first, "i-office-1", "office", "a", SLOTS, WORK_MILLIS);
    left.startHeartbeats();
    startBackend(second, "i-office-2", "office", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    await("both servers in the table of nodes", 30_000,
        () -> store.value("nodes", "first").contains("i-office-1")
            && store.value("nodes", "second").contains("i-office-2"));
    await("an answer", 20_000,
        () -> request(front, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    load(front, Configurations.HOST, "/read/office/x", REQUESTS_PER_SECOND, () -> loadStopped);
    pause(4_000);
    String late = left.prepareHeartbeat();
    record.write("this heartbeat is under way: %s", late);
    if (!left.deregister()) {
      throw new CouldNotRunException("the deregistration was not acknowledged");
    }
    long acknowledgedNanos = System.nanoTime();
    if (trouble) {
      first.signal("TERM");
      if (first.awaitEnd(8_000) < 0) {
        throw new CouldNotRunException("the node has not stopped");
      }
      first.start();
      await("the node again", 20_000, first::isReady);
    } else {
      pause(4_000);
    }
    long startedNanos = System.nanoTime();
    boolean taken = left.deliver(late);
    record.write(
        "the late heartbeat arrives %.1f s after the deregistration was acknowledged, taken=%s",
        (System.nanoTime() - acknowledgedNanos) / 1e9, taken);
    pause(5_500);
    loadStopped = true;
    pause(500);
    long inTouchNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
    long drainedNanos = acknowledgedNanos + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
    long afterDrain =
        left.runs().stream().filter(run -> run.arrivedNanos() > drainedNanos).count();
    long inTouch =
        left.runs().stream()
            .filter(run -> run.arrivedNanos() > Math.max(drainedNanos, inTouchNanos))
            .count();
    record.report(
        "requests at the server later than drainMs after its deregistration: %d,"
            + " of these from a node that had run for contactMs: %d",
        afterDrain, inTouch);
    return inTouch == 0;
  }
}
