package reviewkit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A backend ends, and its address goes to a backend of another service while the node beside it is
 * restarted as planned.
 */
public final class ReusedAddressCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 50;
  private static final int REQUESTS_PER_SECOND = 15;
  private static final long ADDRESS_REUSE_MILLIS = 2_000;

  /** How long before the other service's backend is up the node starts again. */
  private static final long START_BEFORE_MILLIS = 600;

  private static final long HEARTBEAT_DELAY_MILLIS = 1_500;
  private static final long COLD_MILLIS = 3_000;
  private static final long HANGUP_AFTER_MILLIS = 1_000;

  private volatile boolean loadStopped;

  public static void main(String[] arguments) throws Exception {
    new ReusedAddressCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office")));
    List<Node> nodes = new ArrayList<>();
    List<Backend> backends = new ArrayList<>();
    for (String service : List.of("desk", "office")) {
      for (int i = 1; i <= 3; i++) {
        nodes.add(startNode(service + "-" + i, "a", service));
      }
    }
    for (Node node : nodes) {
      String service = node.name().substring(0, node.name().indexOf('-'));
      Backend backend =
          startBackend(node, "i-" + node.name(), service, "a", SLOTS, WORK_MILLIS);
      backend.startHeartbeats();
      backends.add(backend);
    }
    await("all servers in the table of nodes", 30_000,
        () -> nodes.stream()
            .allMatch(node -> store.value("nodes", node.name()).contains("i-" + node.name())));
    List<Node> callers = nodes.subList(1, nodes.size());
    for (Node caller : callers) {
      await("an answer at " + caller.name(), 20_000,
          () -> request(caller, "GET", Configurations.HOST, "/read/desk/x", 2_000).status() == 200);
    }
    for (Node caller : callers) {
      load(caller, Configurations.HOST, "/read/desk/x", REQUESTS_PER_SECOND, () -> loadStopped);
    }
    pause(3_000);
    Backend next = trouble ? reuseAddress(nodes.get(0), backends.get(0)) : null;
    pause(8_000);
    loadStopped = true;
    pause(1_000);
    if (next != null) {
      backends.add(next);
    }
    long foreign =
        backends.stream()
            .filter(backend -> backend.service().equals("office"))
            .flatMap(backend -> backend.runs().stream())
            .filter(run -> run.path().startsWith("/read/desk/"))
            .count();
    long all = backends.stream().mapToLong(backend -> backend.runs().size()).sum();
    record.report("requests that ran: %d, look-ups for desk that office ran: %d", all, foreign);
    return foreign == 0;
  }

  /** Restarts a node; meanwhile its backend ends, and another service gets the address. */
  private Backend reuseAddress(Node node, Backend former) {
    node.signal("TERM");
    if (node.awaitEnd(8_000) < 0) {
      throw new CouldNotRunException("the node has not stopped");
    }
    former.close();
    long endedNanos = System.nanoTime();
    pauseUntil(endedNanos, ADDRESS_REUSE_MILLIS - START_BEFORE_MILLIS);
    node.start();
    pauseUntil(endedNanos, ADDRESS_REUSE_MILLIS + 50);
    Backend next = startBackend(node, "i-next", "office", "a", SLOTS, WORK_MILLIS);
    next.turnCold(COLD_MILLIS);
    next.startWithLateHeartbeat(HEARTBEAT_DELAY_MILLIS);
    node.changeService("office");
    pause(HANGUP_AFTER_MILLIS);
    node.signal("HUP");
    return next;
  }

  private static void pauseUntil(long startNanos, long afterMillis) {
    long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    pause(Math.max(0, afterMillis - passedMillis));
  }
}
