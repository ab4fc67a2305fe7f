package reviewkit;

import java.util.List;

/**
 * The backend on a machine is replaced by one of another service, and the settings file changes
 * with it, without a signal.
 */
public final class ChangedServiceCase extends Case {
  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 50;
  private static final long ADDRESS_REUSE_MILLIS = 2_000;
  private static final long SETTLE_MILLIS = 20_000;
  private static final int REQUESTS = 20;

  public static void main(String[] arguments) throws Exception {
    new ChangedServiceCase().main(arguments[0]);
  }

  @Override
  protected boolean play() {
    store.put("op", "config", Configurations.openRoutes("r1", List.of("desk", "office", "vault")));
    Node first = startNode("first", "a", "desk");
    Node second = startNode("second", "a", "office");
    Backend desk = startBackend(first, "i-desk-1", "desk", "a", SLOTS, WORK_MILLIS);
    desk.startHeartbeats();
    Backend office = startBackend(second, "i-office-1", "office", "a", SLOTS, WORK_MILLIS);
    office.startHeartbeats();
    await("an answer", 40_000,
        () -> request(first, "GET", Configurations.HOST, "/read/office/x", 2_000).status() == 200);
    String expected = "desk";
    if (trouble) {
      desk.deregister();
      pause(ADDRESS_REUSE_MILLIS);
      desk.close();
      pause(ADDRESS_REUSE_MILLIS);
      first.changeService("vault");
      startBackend(first, "i-vault-1", "vault", "a", SLOTS, WORK_MILLIS).startHeartbeats();
      await("the new server in the table of nodes", 20_000,
          () -> store.value("nodes", "first").contains("i-vault-1"));
      expected = "vault";
    }
    pause(trouble ? SETTLE_MILLIS : 1_000);
    office.runs().clear();
    for (int i = 0; i < REQUESTS; i++) {
      request(first, "GET", Configurations.HOST, "/read/office/x", 2_000);
    }
    if (office.runs().size() < REQUESTS / 2) {
      throw new CouldNotRunException("too few requests ran: " + office.runs().size());
    }
    String service = expected;
    long wrong =
        office.runs().stream().filter(run -> !run.callerService().equals(service)).count();
    record.report(
        "requests from the machine whose service is %s: %d, with another Caller-Service: %d",
        expected, office.runs().size(), wrong);
    return wrong == 0;
  }
}
