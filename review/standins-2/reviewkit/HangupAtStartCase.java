package reviewkit;

import java.util.List;

/** A node that has just been started is told that its settings file has changed. */
public final class HangupAtStartCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 50;

  /** After this time the process exists, and the JVM is still starting. */
  private static final long START_MILLIS = 150;

  public static void main(String[] arguments) throws Exception {
    new HangupAtStartCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk")));
    Node node = startNode("first", "a", "desk");
    startBackend(node, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS).startHeartbeats();
    if (trouble) {
      pause(START_MILLIS);
      node.signal("HUP");
    }
    int status = node.awaitEnd(8_000);
    record.report("the process %s", status < 0 ? "runs" : "has ended with status " + status);
    return status < 0;
  }
}
