import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend ends and its address goes to a backend of another service; the settings file of its
 * machine changes without a signal. Requests that begin there must carry the new service.
 */
final class CallerServiceCase {
  private static final String KEY = "89anu6wsjnbanfqasnmg";
  private static final int ADDRESS_REUSE_MILLIS = 2_000;
  private static final int SETTLE_MILLIS = 12_000;
  private static final int REQUESTS = 20;

  private record Run(String attempt, String service, String caller) {}

  private CallerServiceCase() {}

  public static void main(String[] arguments) {
    Case.run(arguments, CallerServiceCase::run);
  }

  private static boolean run(Deployment deployment, RunRecord record, boolean trouble)
      throws Exception {
    List<Run> runs = new CopyOnWriteArrayList<>();
    Backend.Listener listener =
        (backend, method, target, headers) -> {
          Run run =
              new Run(headers.get("attempt-id"), backend.service, headers.get("caller-service"));
          runs.add(run);
          record.line(
              "run attempt=%s at=%s service=%s Caller-Service=%s",
              run.attempt(), backend.id, run.service(), run.caller());
        };
    String[] services = {"desk", "desk", "office", "office", "vault", "vault"};
    String[] zones = {"kgn-a", "kgn-b", "kgn-a", "kgn-b", "kgn-a", "kgn-b"};
    Deployment.Machine[] machines = new Deployment.Machine[services.length];
    Backend[] backends = new Backend[services.length];
    for (int i = 0; i < services.length; i++) {
      machines[i] = deployment.machine("sidecar-" + i, zones[i], services[i]);
    }
    deployment.store.put(
        "op",
        "config",
        new Configuration()
            .service("desk")
            .service("office")
            .service("vault")
            .route("r-vault", "/vault/", "safe", "vault")
            .tenant("bozi300", KEY, 0, 0)
            .text(7));
    deployment.startAll();
    for (int i = 0; i < services.length; i++) {
      backends[i] = backend(machines[i], "i-first-" + i, listener);
    }
    Thread.sleep(4_000);

    Deployment.Machine machine = machines[0];
    record.line("requests at %s, whose settings name service %s", machine.name, machine.service);
    send(machine, record, "before", 5);
    if (runs.stream().noneMatch(run -> run.caller().equals("desk"))) {
      throw new IllegalStateException("no request ran before the change");
    }

    String expected = "desk";
    if (trouble) {
      backends[0].crash();
      record.line("backend %s of service desk ended", backends[0].id);
      Thread.sleep(ADDRESS_REUSE_MILLIS + 500);
      machine.service = "office";
      machine.writeSettings();
      record.line("settings file of %s changed: localService=office, no signal", machine.name);
      backend(machine, "i-second-0", listener);
      record.line("backend i-second-0 of service office started at the same address");
      expected = "office";
    }
    Thread.sleep(SETTLE_MILLIS);
    runs.clear();
    send(machine, record, "after", REQUESTS);
    Thread.sleep(1_000);
    int wrong = 0;
    for (Run run : runs) {
      if (!run.caller().equals(expected)) {
        wrong++;
      }
    }
    record.line(
        "%d of %d requests ran with another Caller-Service than %s", wrong, runs.size(), expected);
    if (runs.isEmpty()) {
      throw new IllegalStateException("no request ran after the change");
    }
    return wrong > 0;
  }

  private static Backend backend(
      Deployment.Machine machine, String id, Backend.Listener listener) throws Exception {
    return new Backend(
        id, machine.service, machine.backendPort, machine.zone, 5, 50, machine.control, listener);
  }

  private static void send(Deployment.Machine machine, RunRecord record, String label, int count)
      throws Exception {
    for (int i = 0; i < count; i++) {
      String attempt = label + "-" + i;
      HttpCall.Response response =
          new HttpCall("GET", "/vault/" + i)
              .header("Host", "jepu9.example")
              .header("Attempt-Id", attempt)
              .header("Deadline-Ms", "4000")
              .header("Authorization", "Bearer " + KEY)
              .send(machine.ingress, 5_000);
      record.line(
          "sent attempt=%s at=%s answered %d stamp=%s",
          attempt, machine.name, response.status(), response.headers().get("server-stamp"));
      Thread.sleep(100);
    }
  }
}
